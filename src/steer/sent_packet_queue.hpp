#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/steer/packet_header.hpp>

#include <cstddef>
#include <deque>

namespace galenabay::steer
{

/// Bounded queue of forwarded packets that await an answer, oldest first; a full queue
/// drops its oldest entry. Not thread-safe; owned by the `steerer`.
class sent_packet_queue
{
public:
    struct sent_packet
    {
        flow_key flow;
        upstream_token token = 0;
        base::time_point sent_at{};
    };

    void push(const sent_packet& sent)
    {
        if (waiting_.size() == max_waiting)
        {
            waiting_.pop_front();
        }
        waiting_.push_back(sent);
    }

    /// Takes all packets as sent at `now`.
    void renew(base::time_point now)
    {
        for (auto& sent : waiting_)
        {
            sent.sent_at = now;
        }
    }

    /// Removes the packets sent at or before `limit` and passes each to `visit`.
    template <typename Visitor> void pop_older(base::time_point limit, Visitor visit)
    {
        while (!waiting_.empty() && waiting_.front().sent_at <= limit)
        {
            visit(waiting_.front());
            waiting_.pop_front();
        }
    }

private:
    /// New flows of two ticks on a host that gets thousands of them per second.
    static constexpr std::size_t max_waiting = 2'000;

    std::deque<sent_packet> waiting_;
};

} // namespace galenabay::steer
