#pragma once

#include <galenabay/config/service_set.hpp>

#include <compare>
#include <span>
#include <string>
#include <vector>

namespace galenabay::config
{

enum class change_kind
{
    service_added,
    service_removed,
    service_changed,
    upstream_added,
    upstream_removed,
    upstream_changed,
};

/// One entry that differs between two sets. Plain value.
struct change
{
    change_kind kind = change_kind::service_changed;
    /// "SERVICE" or "SERVICE/UPSTREAM".
    std::string name;
    /// What changes, for example "weight 100 -> 50"; empty for added and removed.
    std::string detail;

    friend auto operator<=>(const change&, const change&) = default;
};

/// What a change means for the flows of one service. Plain value.
struct flow_forecast
{
    std::string service;
    /// Share of new flows that another upstream takes than before, 0 to 1.
    double moved_share = 0;
    /// Upstreams that no longer take new flows but keep those they have.
    std::size_t draining = 0;

    friend auto operator<=>(const flow_forecast&, const flow_forecast&) = default;
};

/// A change that breaks flows which run now. Plain value.
struct hazard
{
    /// What an operator has to name to apply it all the same.
    std::string name;
    std::string reason;

    friend auto operator<=>(const hazard&, const hazard&) = default;
};

/// What applying a set changes.
struct difference
{
    std::vector<change> changes;
    std::vector<flow_forecast> forecasts;
    std::vector<hazard> hazards;

    bool empty() const noexcept { return changes.empty(); }
};

/// Compares two sets by name. `before` is empty when nothing is in force.
///
/// Hazards: a service or upstream that is removed without having drained, a
/// service whose address changes, an address that passes from one service to
/// another, a service that is left without an upstream for new flows.
difference compare(const service_set& before, const service_set& after);

/// "+ service parts-exchange", "~ upstream vault/vault-01: weight 100 -> 50".
std::string to_string(const change& value);

/// The first hazard that `forced` does not name; null when there is none.
const hazard* first_unforced_hazard(const difference& value, std::span<const std::string> forced);

} // namespace galenabay::config
