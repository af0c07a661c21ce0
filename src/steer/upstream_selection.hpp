#pragma once

#include <galenabay/base/random.hpp>
#include <galenabay/steer/configuration.hpp>
#include <galenabay/steer/data_centre_evidence.hpp>
#include <galenabay/steer/evacuations.hpp>
#include <galenabay/steer/steering_decision.hpp>
#include <galenabay/steer/upstream_registry.hpp>
#include <galenabay/steer/warm_up_claims.hpp>

#include <string>

namespace galenabay::steer
{

/// A new flow for which an upstream is selected. Refers to the caller's values.
struct selection_request
{
    const std::string& service;
    /// This host's data centre, whose upstreams are preferred.
    const std::string& data_centre;
    /// What the configuration states of the service's upstreams.
    const service_limits& limits;
    /// Upstream that did not answer the flow's last SYN; null when there is none.
    const upstream_incarnation* tried = nullptr;
    /// Evidence about the links to other data centres; null when there is none.
    data_centre_evidence* links = nullptr;
    /// The SYN is sent for the first time, so that the flow may be a trial of a silent link.
    bool first_try = false;
    /// Starting upstreams that this host owns. Where the service states a rate for them, the others
    /// get no new flows from this host. Null: starting upstreams are not limited.
    const warm_up_claims* warm_ups = nullptr;
    /// The service's flows carry one request each, so that what other hosts have open changes faster than it
    /// becomes known.
    bool has_short_flows = false;
};

/// The upstream for a new flow, or why there is none.
struct selection
{
    upstream_incarnation* upstream = nullptr;
    steering_reason refusal = steering_reason::no_upstream;
    /// An upstream of this host's data centre was left out because that is evacuated.
    bool left_data_centre = false;
    /// Most upstreams are full or reject flows.
    bool short_of_room = false;
};

/// Returns true when the upstream may take new flows at all: it is neither draining nor ended nor
/// in an evacuated data centre.
bool takes_new_flows(const upstream_incarnation& upstream, const evacuation_table& evacuations);

/// Selects the upstream for a new flow: the less loaded of two random ones of the best
/// available class, or either one where the difference is uncertain because loads are known late, in this host's data
/// centre unless its load is much higher than elsewhere. Ready upstreams come first, then those of a data centre that
/// is returning and takes only a part of its flows, full ones, those of a data centre whose link is silent, silent
/// ones, and those with a missing registration. One for which `takes_new_flows` is false is never selected, `tried`
/// only when there is no other.
selection select_upstream(const upstream_registry& registry, const evacuation_table& evacuations,
                          const selection_request& request, base::random_source& random, base::time_point now);

} // namespace galenabay::steer
