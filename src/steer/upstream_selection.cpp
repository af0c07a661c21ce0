#include "upstream_selection.hpp"

#include "upstream_evidence.hpp"

#include <algorithm>
#include <array>
#include <cstddef>

namespace galenabay::steer
{

namespace
{

/// How much of its normal rate a starting upstream works at: work takes 1.6 times as long.
constexpr double warm_up_slowdown = 1.6;
/// Weight of an open request against an idle flow, which sends about one request a second.
constexpr double request_weight = 2.0;

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
    if (upstream.missing_since && !registry.may_have_lapsed(upstream))
    {
        return missing;
    }
    return is_avoided(upstream, now) ? silent : usable;
}

double load_of(const upstream_incarnation& upstream, base::time_point now)
{
    const double flows = upstream.flows + upstream.remote_flows;
    const double requests = upstream.open_requests + upstream.remote_requests;
    const double load = (1.0 + flows + request_weight * requests) / upstream.entry.slots;
    return now < upstream.warm_at ? load * warm_up_slowdown : load;
}

} // namespace

upstream_incarnation* select_upstream(const upstream_registry& registry, const std::string& service,
                                      const upstream_incarnation* tried, base::random_source& random,
                                      base::time_point now)
{
    std::array<std::vector<upstream_incarnation*>, excluded> classes;
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
        classes[found].push_back(upstream);
    }
    const auto best =
        std::find_if(classes.begin(), classes.end(), [](const auto& members) { return !members.empty(); });
    if (best == classes.end())
    {
        return fallback;
    }
    auto* first = (*best)[random.below(best->size())];
    auto* second = (*best)[random.below(best->size())];
    return load_of(*second, now) < load_of(*first, now) ? second : first;
}

} // namespace galenabay::steer
