#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <utility>

namespace galenabay::revision_torture
{

/// Event queue with a virtual clock. An event that blocks calls `run_for`, which
/// runs the events that are due during its wait, so that operators and hosts
/// interleave.
class event_queue
{
public:
    using time = std::chrono::microseconds;

    time now() const noexcept { return now_; }

    void schedule(time delay, std::function<void()> event) { events_.emplace(now_ + delay, std::move(event)); }

    void run_for(time length)
    {
        const time end = now_ + length;
        while (!events_.empty() && events_.begin()->first <= end)
        {
            auto node = events_.extract(events_.begin());
            now_ = std::max(now_, node.key());
            node.mapped()();
            ++events_run_;
        }
        now_ = std::max(now_, end);
    }

    /// Number of events run so far.
    std::size_t events_run() const noexcept { return events_run_; }

private:
    std::multimap<time, std::function<void()>> events_;
    time now_{0};
    std::size_t events_run_ = 0;
};

/// Clock and sleep of the retries in `store_logic`, driven by the event queue of
/// the `world` that was created last.
struct virtual_time
{
    static inline event_queue* queue = nullptr;

    static std::chrono::steady_clock::time_point now() { return std::chrono::steady_clock::time_point{queue->now()}; }
    static void sleep_for(std::chrono::milliseconds time) { queue->run_for(time); }
};

} // namespace galenabay::revision_torture
