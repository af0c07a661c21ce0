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
    /// True: belongs to the class that holds slots for long.
    bool is_long = false;
};

/// Place of a request in the queue. Smaller is served earlier.
struct queue_position
{
    double finish = 0;
    std::uint64_t order = 0;

    friend auto operator<=>(const queue_position&, const queue_position&) = default;
};

/// Requests that wait, served by self-clocked fair queueing.
///
/// Each caller has its own virtual clock, advanced by the expected time of its
/// requests; the earliest virtual finish is served first. So callers share the
/// slots evenly, short requests pass longer ones, and none waits for ever. One
/// per shard, owned by the deciding thread.
class admission_queue
{
public:
    queue_position push(const queued_work& work);

    /// Removes the next request; passes over long ones when `allow_long` is
    /// false.
    std::optional<queued_work> pop(bool allow_long);

    /// Removes a request that is no longer wanted; its caller gets its share
    /// back.
    void erase(const queue_position& position);

    /// The request that would be served last.
    const queued_work* last() const;

    /// Expected time of all requests served before `position`, summed.
    base::duration work_before(const queue_position& position) const;

    std::size_t size() const noexcept { return waiting_.size(); }
    bool empty() const noexcept { return waiting_.empty(); }
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
    /// Expected time of everything that waits, in microseconds.
    base::duration total_{0};
};

} // namespace galenabay::dispatch
