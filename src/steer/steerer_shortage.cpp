#include <galenabay/steer/steerer.hpp>

#include "answer_time_sampler.hpp"
#include "flow_table.hpp"
#include "shortage_state.hpp"
#include "upstream_evidence.hpp"
#include "upstream_selection.hpp"

// Rejected flows, the budget of retransmitted SYNs and evidence about other data centres.
namespace galenabay::steer
{

std::uint64_t steerer::rejected_flow_count() const noexcept
{
    return shortage_->rejected_flows;
}

std::uint64_t steerer::limited_retry_count() const noexcept
{
    return shortage_->limited_retries;
}

void steerer::record_answer(upstream_incarnation& upstream, base::time_point now)
{
    record_progress(upstream, now);
    if (!links_.on_answer(upstream.entry.data_centre, now))
    {
        return;
    }
    // The link explains why the other upstreams of the data centre did not answer.
    registry_.for_each(
        [&](upstream_incarnation& other)
        {
            if (other.entry.data_centre == upstream.entry.data_centre)
            {
                other.unanswered_syns = 0;
                other.retransmissions = 0;
                other.silent_until = {};
                other.avoid_until = {};
                other.voted_until = {};
            }
        });
}

void steerer::check_links(base::time_point now)
{
    const auto before = links_.silent_count();
    links_.tick(now);
    silence_count_ += links_.silent_count() > before ? 1 : 0;
}

void steerer::check_rejected(const flow_state& flow, upstream_incarnation& upstream, const packet_header& header,
                             base::time_point now)
{
    if (!header.fin || flow.closing || flow.sent_at == base::time_point{})
    {
        return;
    }
    const auto size = static_cast<std::int32_t>(header.acknowledged - flow.answer_start);
    const auto& service = upstream.entry.service;
    auto& sizes = shortage_->services[service].sizes;
    const auto limit =
        answer_times_->has_short_flows(service) ? answer_sizes::short_flow_limit : answer_sizes::long_flow_limit;
    if (size > 0 && sizes.on_end(static_cast<std::uint32_t>(size), now - flow.sent_at, limit))
    {
        record_rejection(upstream, now);
        ++shortage_->rejected_flows;
    }
}

bool steerer::stays_on(const upstream_incarnation* tried, const std::string& service, bool short_of_room)
{
    auto& retries = shortage_->services[service].retries;
    if (tried == nullptr)
    {
        retries.on_new_flow();
        return false;
    }
    if (!short_of_room || !takes_new_flows(*tried, evacuations_) || tried->entry.service != service || retries.take())
    {
        return false;
    }
    ++shortage_->limited_retries;
    return true;
}

} // namespace galenabay::steer
