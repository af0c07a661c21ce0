#pragma once

#include <atomic>
#include <chrono>

namespace galenabay::net
{

/// Lets the consumer of a ring sleep until a producer has pushed. One consumer, any number of producers.
///
/// The consumer calls `prepare`, checks its rings once more, and then calls `cancel` if there was work and `wait`
/// otherwise. That way no push is missed.
class wakeup_event
{
public:
    /// Throws `std::system_error` when the system refuses a descriptor.
    wakeup_event();
    wakeup_event(const wakeup_event&) = delete;
    wakeup_event& operator=(const wakeup_event&) = delete;
    ~wakeup_event();

    /// Wakes the consumer if it sleeps or has called `prepare`. Producers call it after a push.
    void notify();

    /// Consumer: makes producers send a wakeup from now on. Call it before the last check of the rings.
    void prepare() { sleeping_.exchange(true, std::memory_order_acq_rel); }
    /// Consumer: reverts `prepare` when the last check found work.
    void cancel() { sleeping_.exchange(false, std::memory_order_acq_rel); }
    /// Consumer: sleeps until notified or until `timeout` has expired.
    void wait(std::chrono::milliseconds timeout);

    /// Returns a descriptor that becomes readable on a wakeup, for poll loops.
    int descriptor() const noexcept { return descriptor_; }
    /// Consumer: resets the descriptor after it became readable.
    void clear();

private:
    int descriptor_;
    /// Changed by exchanges only: an exchange of the consumer that follows a producer's sees what that one has pushed,
    /// and a producer's that follows the consumer's finds `true`.
    std::atomic<bool> sleeping_{false};
};

} // namespace galenabay::net
