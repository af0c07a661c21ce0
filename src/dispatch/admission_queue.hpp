#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/dispatch/request.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace galenabay::dispatch
{

/// A request that waits for a slot.
struct queued_work
{
    request_key key = 0;
    base::endpoint caller;
    base::duration expected{0};
    /// True: belongs to the class of requests that hold a slot for long.
    bool is_long = false;
};

/// Position of a request in the queue: its virtual finish time, then its order
/// of arrival. The smallest is served first.
struct queue_position
{
    double finish = 0;
    std::uint64_t order = 0;

    friend auto operator<=>(const queue_position&, const queue_position&) = default;
};

/// Queue of the requests that wait for a slot, in the order of self-clocked fair
/// queueing.
///
/// Each caller has its own virtual clock, advanced by the expected time of its
/// requests; the earliest virtual finish is served first. So callers share the
/// slots evenly, short requests overtake longer ones, and none starves. Owned by
/// `service_state` and used by the dispatcher's thread only.
class admission_queue
{
public:
    /// Adds a request; the position identifies it until it is removed.
    queue_position push(const queued_work& work);

    /// Removes and returns the next request, or nullopt when there is none; skips
    /// long ones when `allow_long` is false.
    std::optional<queued_work> pop(bool allow_long);

    /// Removes a request without serving it, and takes its cost off its caller's
    /// virtual clock.
    void erase(const queue_position& position);

    /// Returns the request that would be served last; null when empty.
    const queued_work* last() const;

    /// Returns the summed expected time of all requests served before `position`.
    base::duration work_before(const queue_position& position) const;

    std::size_t size() const noexcept { return waiting_.size(); }
    bool empty() const noexcept { return waiting_.empty(); }
    /// Returns how many of the waiting requests are long.
    std::size_t long_size() const noexcept { return long_size_; }

private:
    struct caller_clock
    {
        double finish = 0;
        std::size_t waiting = 0;
    };

    void remove(std::map<queue_position, queued_work>::iterator place, bool served);
    double clock_of(std::uint64_t caller) const;

    std::map<queue_position, queued_work> waiting_;
    std::unordered_map<std::uint64_t, caller_clock> callers_;
    double virtual_time_ = 0;
    std::uint64_t next_order_ = 0;
    std::size_t long_size_ = 0;
    /// Expected time of all waiting requests, in microseconds.
    base::duration total_{0};
};

} // namespace galenabay::dispatch
