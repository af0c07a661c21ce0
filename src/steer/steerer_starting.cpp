#include <galenabay/steer/steerer.hpp>

#include "upstream_evidence.hpp"

#include <algorithm>

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
