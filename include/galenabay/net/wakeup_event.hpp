#pragma once

#include <atomic>
#include <chrono>

namespace galenabay::net
{

/// Lets a ring's consumer sleep until a producer has pushed. One consumer, any
/// number of producers.
class wakeup_event
{
public:
    wakeup_event();
    wakeup_event(const wakeup_event&) = delete;
    wakeup_event& operator=(const wakeup_event&) = delete;
    ~wakeup_event();

    /// Producer: wakes the consumer when it sleeps.
    void notify();

    /// Consumer: call before the last look at the rings.
    void prepare() { sleeping_.store(true, std::memory_order_seq_cst); }
    /// Consumer: there was work after all.
    void cancel() { sleeping_.store(false, std::memory_order_relaxed); }
    /// Consumer: sleeps until notified or the time is over.
    void wait(std::chrono::milliseconds timeout);

    /// Descriptor that becomes readable on notify, for poll loops.
    int descriptor() const noexcept { return descriptor_; }
    /// Consumer: resets the descriptor after it became readable.
    void clear();

private:
    int descriptor_;
    std::atomic<bool> sleeping_{false};
};

} // namespace galenabay::net
