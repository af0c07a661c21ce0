#include "upstream_selection.hpp"

#include "upstream_evidence.hpp"

#include <algorithm>
#include <array>
#include <cstddef>

namespace galenabay::steer
{

namespace
{

/// Factor on the load of a starting upstream: its requests take 1.6 times as long.
constexpr double warm_up_slowdown = 1.6;
/// Load of an open request relative to that of an idle flow, which sends about one
/// request per second.
constexpr double request_weight = 2.0;

/// Factor by which the load of an upstream in this data centre may exceed that of one
/// elsewhere: a flow between data centres breaks when their link fails, and its bytes are paid
/// for.
constexpr double local_preference = 1.3;
/// Load per slot by which it may exceed that in addition: one open request for each slot, so
/// that the few flows of an idle service do not leave the data centre.
constexpr double local_allowance = request_weight;

/// Availability of an upstream for new flows, best first.
enum candidate_class : std::size_t
{
    usable,
    silent,
    missing,
    excluded,
};

candidate_class class_of(const upstream_registry& registry, const upstream_incarnation& upstream, base::time_point now)
{
    if (upstream.entry.draining || upstream.ended)
    {
        return excluded;
    }
    if (upstream.missing_since && !registry.may_have_expired(upstream))
    {
        return missing;
    }
    return is_avoided(upstream, now) ? silent : usable;
}

/// Returns the load of this and the other hosts per slot of the upstream.
double load_of(const upstream_incarnation& upstream, base::time_point now)
{
    const double flows = upstream.flows + upstream.remote_flows;
    const double requests = upstream.open_requests + upstream.remote_requests;
    const double load = (1.0 + flows + request_weight * requests) / upstream.entry.slots;
    return now < upstream.warm_at ? load * warm_up_slowdown : load;
}

using candidates = std::vector<upstream_incarnation*>;

/// Returns the less loaded of two random candidates; null when there are none.
upstream_incarnation* select_less_loaded(const candidates& from, base::random_source& random, base::time_point now)
{
    if (from.empty())
    {
        return nullptr;
    }
    auto* first = from[random.below(from.size())];
    auto* second = from[random.below(from.size())];
    return load_of(*second, now) < load_of(*first, now) ? second : first;
}

/// Returns the local upstream unless its load is much higher.
upstream_incarnation* prefer_local(upstream_incarnation* local, upstream_incarnation* remote, base::time_point now)
{
    if (local == nullptr || remote == nullptr)
    {
        return local == nullptr ? remote : local;
    }
    return load_of(*local, now) > local_preference * load_of(*remote, now) + local_allowance ? remote : local;
}

} // namespace

upstream_incarnation* select_upstream(const upstream_registry& registry, const std::string& service,
                                      const std::string& data_centre, const upstream_incarnation* tried,
                                      base::random_source& random, base::time_point now)
{
    std::array<candidates, excluded> local;
    std::array<candidates, excluded> remote;
    upstream_incarnation* fallback = nullptr;
    for (auto* upstream : registry.of_service(service))
    {
        const auto found = class_of(registry, *upstream, now);
        if (found == excluded)
        {
            continue;
        }
        if (upstream == tried)
        {
            fallback = upstream;
            continue;
        }
        (upstream->entry.data_centre == data_centre ? local : remote)[found].push_back(upstream);
    }
    for (std::size_t found = usable; found < excluded; ++found)
    {
        if (auto* chosen = prefer_local(select_less_loaded(local[found], random, now),
                                        select_less_loaded(remote[found], random, now), now);
            chosen != nullptr)
        {
            return chosen;
        }
    }
    return fallback;
}

} // namespace galenabay::steer
