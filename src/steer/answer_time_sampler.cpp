#include "answer_time_sampler.hpp"

#include "upstream_evidence.hpp"

#include <algorithm>
#include <limits>

namespace galenabay::steer
{

namespace
{

/// Number of requests after which the counts of a service are halved, so that they follow a change.
constexpr std::uint32_t counted_requests = 256;

/// Divisor of a round trip that gives the least time that an upstream works on a request: what is
/// answered sooner was refused. Refusals would make a full upstream look like the fastest one.
constexpr int least_work_divisor = 3;

} // namespace

void answer_time_sampler::on_handshake(flow_state& flow, base::time_point now)
{
    const auto taken =
        std::clamp<std::int64_t>((now - flow.last_seen).count(), 1, std::numeric_limits<std::uint32_t>::max());
    flow.round_trip_us = static_cast<std::uint32_t>(taken);
}

void answer_time_sampler::on_request(flow_state& flow, const upstream_incarnation& upstream)
{
    auto& counts = services_[upstream.entry.service];
    ++(flow.requests == 0 ? counts.first : counts.later);
    if (counts.first + counts.later >= counted_requests)
    {
        counts.first /= 2;
        counts.later /= 2;
    }
    flow.requests = static_cast<std::uint8_t>(std::min(flow.requests + 1, 2));
    const auto open = upstream.open_requests + upstream.remote_requests;
    flow.open_requests =
        static_cast<std::uint16_t>(std::min<std::uint32_t>(open, std::numeric_limits<std::uint16_t>::max()));
}

bool answer_time_sampler::has_long_flows(const std::string& service) const
{
    const auto known = services_.find(service);
    return known != services_.end() && known->second.later > known->second.first;
}

bool answer_time_sampler::has_short_flows(const std::string& service) const
{
    // Some seconds of new flows of a small host, in which long flows have sent several requests each.
    constexpr std::uint32_t required_flows = 64;
    const auto known = services_.find(service);
    return known != services_.end() && known->second.first >= required_flows && known->second.are_short();
}

bool answer_time_sampler::may_have_short_flows(const std::string& service) const
{
    const auto known = services_.find(service);
    return known != services_.end() && known->second.are_short();
}

bool answer_time_sampler::recent_requests::are_short() const noexcept
{
    constexpr std::uint32_t flows_per_later_request = 4;
    return later * flows_per_later_request < first;
}

base::duration answer_time_sampler::longest_answer(const std::string& service) const
{
    const auto known = services_.find(service);
    return known != services_.end() ? known->second.longest_answer : base::duration{0};
}

void answer_time_sampler::on_answer(const flow_state& flow, upstream_incarnation& upstream, base::time_point now)
{
    // Half of it is left after 44 answers, so that it follows the end of a burst within seconds.
    constexpr int fading = 64;
    auto& longest = services_[upstream.entry.service].longest_answer;
    longest = std::max<base::duration>(now - flow.sent_at, longest - longest / fading);
    const bool is_local = data_centre_.empty() || upstream.entry.data_centre == data_centre_;
    const base::duration round_trip{flow.round_trip_us};
    const auto worked = now - flow.sent_at - round_trip;
    if (flow.round_trip_us == 0 || worked < round_trip / least_work_divisor)
    {
        return;
    }
    if (!is_local || flow.retransmissions > 0 || flow.sent_at <= resumed_at_ || is_starting(upstream, now) ||
        (flow.requests == 1 && has_long_flows(upstream.entry.service)))
    {
        return;
    }
    upstream.answer_times.add(
        {.answer_time = worked, .open_requests = flow.open_requests, .slots = upstream.entry.slots}, now);
}

} // namespace galenabay::steer
