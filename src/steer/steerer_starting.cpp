#include <galenabay/steer/steerer.hpp>

#include "syn_relays.hpp"
#include "upstream_evidence.hpp"
#include "upstream_selection.hpp"

#include <galenabay/base/hash.hpp>

#include <algorithm>
#include <functional>

// Upstreams that are starting, and those that fail again after their start.
namespace galenabay::steer
{

void steerer::record_restart(const upstream_registry::change& change, outcome& effects, base::time_point now)
{
    auto& upstream = *change.incarnation;
    if (change.kind == upstream_change::missing || change.kind == upstream_change::ended)
    {
        restarts_.on_gone(upstream.entry, now);
        return;
    }
    if (const auto relapses = restarts_.on_listed(upstream.entry, now); relapses > 0)
    {
        upstream.load_factor = restarts_.load_factor(upstream.entry, now);
        effects.relapses.emplace_back(&upstream, relapses);
    }
}

void steerer::update_assumed_loads(base::time_point now)
{
    restarts_.expire(now);
    if (!restarts_.has_effect(now))
    {
        return;
    }
    registry_.for_each([&](upstream_incarnation& upstream)
                       { upstream.load_factor = restarts_.load_factor(upstream.entry, now); });
}

bool steerer::is_limited(const upstream_incarnation& upstream, base::time_point now) const
{
    return is_starting(upstream, now) && routes_.limits_of(upstream.entry.service).warm_up_rate > 0;
}

void steerer::expect_restart(upstream_incarnation& upstream, base::time_point now)
{
    const auto& limits = routes_.limits_of(upstream.entry.service);
    if (limits.warm_up_rate > 0 && !has_answered_probes(upstream))
    {
        upstream.cold_until = std::max(upstream.cold_until, now + limits.warm_up_time);
    }
}

bool steerer::take_warm_up_token(const upstream_incarnation& upstream, base::time_point now)
{
    if (!is_limited(upstream, now))
    {
        return true;
    }
    if (!warm_ups_.has_token(upstream.token, now))
    {
        return false;
    }
    const auto rate = routes_.limits_of(upstream.entry.service).warm_up_rate;
    warm_ups_.take_token(upstream.token, rate * restarts_.rate_factor(upstream.entry, now), now);
    return true;
}

std::uint8_t steerer::passes_of(const relayed_syn* relayed)
{
    return relayed == nullptr ? syn_relays::max_passes : std::min(relayed->passes_left, syn_relays::max_passes);
}

bool steerer::take_relay_budget(const packet_header& header, const std::string& service, base::time_point now)
{
    const auto stated_rate = routes_.limits_of(service).warm_up_rate;
    if (stated_rate <= 0 || peer_count_ == 0 || header.data_size > syn_relays::max_data_size)
    {
        return false;
    }
    // An earlier copy that went through another host may have opened the flow.
    if (header.acknowledged > 0)
    {
        return false;
    }
    double fleet_rate = 0;
    for (const auto* upstream : registry_.of_service(service))
    {
        const bool is_counted = takes_new_flows(*upstream, evacuations_);
        fleet_rate += is_counted ? stated_rate * restarts_.rate_factor(upstream->entry, now) : 0;
    }
    return relays_->take_new_flow(service, fleet_rate / static_cast<double>(peer_count_ + 1), random_, now);
}

std::optional<relay_target> steerer::select_relay(const packet_header& header, const std::string& service,
                                                  std::uint8_t passes, base::time_point now)
{
    if (passes == 0)
    {
        return std::nullopt;
    }
    const auto stated_rate = routes_.limits_of(service).warm_up_rate;
    const auto holders = share_limit(stated_rate, options_.warm_ups.overshoot, options_.warm_ups.slack);
    std::vector<upstream_token> local;
    std::vector<upstream_token> remote;
    for (const auto* upstream : registry_.of_service(service))
    {
        const bool is_only_holder = holders == 1 && warm_ups_.owns(upstream->token);
        const bool is_reachable = !links_.is_silent(upstream->entry.data_centre);
        if (is_limited(*upstream, now) && takes_new_flows(*upstream, evacuations_) && !is_only_holder && is_reachable)
        {
            (upstream->entry.data_centre == options_.data_centre ? local : remote).push_back(upstream->token);
        }
    }
    // A flow between data centres breaks when their link fails, and its bytes are paid for.
    auto& candidates = local.empty() ? remote : local;
    if (candidates.empty() || !relays_->take_datagram(now))
    {
        return std::nullopt;
    }
    // With the same order on all hosts, the next pass goes to the holders of another upstream.
    std::sort(candidates.begin(), candidates.end());
    const std::uint64_t lot = std::hash<flow_key>{}(header.flow);
    return relay_target{.token = candidates[(lot + passes) % candidates.size()],
                        .holders = holders,
                        .lot = base::mix(lot, passes),
                        .service = service_key(service),
                        .passes_left = static_cast<std::uint8_t>(passes - 1)};
}

std::vector<warm_up_request> steerer::take_warm_up_requests(const warm_up_claims::rank_function& rank_of,
                                                            base::time_point now)
{
    if (!routes_.has_warm_up_rates() && warm_ups_.size() == 0)
    {
        return {};
    }
    return warm_ups_.update(
        registry_,
        [&](const upstream_incarnation& upstream)
        {
            const bool is_local = upstream.entry.data_centre == options_.data_centre;
            return is_local && is_limited(upstream, now) ? routes_.limits_of(upstream.entry.service).warm_up_rate : 0;
        },
        rank_of, now);
}

double steerer::warm_up_share(const upstream_incarnation& upstream, base::time_point now) const
{
    return is_limited(upstream, now)
               ? warm_ups_.share_rate(upstream.token, now) * restarts_.rate_factor(upstream.entry, now)
               : 0;
}

std::vector<const upstream_incarnation*> steerer::starting_upstreams(base::time_point now)
{
    std::vector<const upstream_incarnation*> starting;
    registry_.for_each(
        [&](const upstream_incarnation& upstream)
        {
            if (!upstream.ended && is_starting(upstream, now))
            {
                starting.push_back(&upstream);
            }
        });
    return starting;
}

} // namespace galenabay::steer
