#pragma once

#include <galenabay/config/service_set.hpp>

#include <compare>
#include <span>
#include <string>
#include <vector>

namespace galenabay::config
{

/// Kinds of differences between two service sets.
enum class change_kind
{
    service_added,
    service_removed,
    service_changed,
    upstream_added,
    upstream_removed,
    upstream_changed,
};

/// A service or upstream that differs between two sets. Plain value.
struct change
{
    change_kind kind = change_kind::service_changed;
    /// "SERVICE" or "SERVICE/UPSTREAM".
    std::string name;
    /// The changed keys, for example "weight 100 -> 50"; empty for added and
    /// removed entries.
    std::string detail;

    friend auto operator<=>(const change&, const change&) = default;
};

/// Expected effect of a change on the flows of one service. Plain value.
struct flow_forecast
{
    std::string service;
    /// Share of new flows that get another upstream than before, 0 to 1.
    double moved_share = 0;
    /// Number of upstreams that start to drain: they accept no new flows and
    /// keep their established ones.
    std::size_t draining = 0;

    friend auto operator<=>(const flow_forecast&, const flow_forecast&) = default;
};

/// A change that breaks established flows. Plain value.
struct hazard
{
    /// Service or upstream, as in `change::name`, that an operator has to name
    /// to force the change.
    std::string name;
    std::string reason;

    friend auto operator<=>(const hazard&, const hazard&) = default;
};

/// Differences between the set in force and a set to apply.
struct difference
{
    std::vector<change> changes;
    std::vector<flow_forecast> forecasts;
    std::vector<hazard> hazards;

    bool empty() const noexcept { return changes.empty(); }
};

/// Compares two sets by name. `before` is empty when no set is in force.
///
/// Hazards: a service or upstream that is removed without having drained, a
/// service whose address changes, an address that moves from one service to
/// another, a service that is left without an upstream for new flows.
difference compare(const service_set& before, const service_set& after);

/// Returns for example "+ service parts-exchange" or
/// "~ upstream vault/vault-01: weight 100 -> 50".
std::string to_string(const change& value);

/// Returns the first hazard that `forced` does not name; null when there is
/// none.
const hazard* first_unforced_hazard(const difference& value, std::span<const std::string> forced);

} // namespace galenabay::config
