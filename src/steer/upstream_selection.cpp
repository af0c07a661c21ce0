#include "upstream_selection.hpp"

#include "rejected_flows.hpp"
#include "relative_answer_times.hpp"
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
/// Excess of load per slot at which all new flows leave: two open requests for each slot, that is
/// before the queue is full, or this part of the load if that is more. With a threshold instead, 45
/// of 100 flows left and 24 of 100 were rejected although a third of the slots was free.
constexpr double overflow_band = 2 * request_weight;
constexpr double relative_overflow_band = 0.5;

/// Factor and load per slot by which the load of an upstream that was drawn by its speed may exceed
/// that of another one: the sums are half a second late, and hosts that all follow smaller
/// differences send the same upstream too much in that time.
constexpr double speed_preference = 1.5;
constexpr double speed_allowance = request_weight;

/// Availability of an upstream for new flows, best first.
enum candidate_class : std::size_t
{
    usable,
    /// Its data centre was evacuated until recently, and this flow is not in the part that it takes.
    returning,
    /// It has no room. Before silent ones: a rejection is known within 20 to 90 ms, while a silent
    /// upstream costs the caller a retransmission timeout.
    full,
    /// The link to its data centre is silent.
    cut_off,
    silent,
    missing,
    excluded,
};

candidate_class class_of(const upstream_registry& registry, const upstream_incarnation& upstream, base::time_point now)
{
    if (registry.is_missing(upstream))
    {
        return missing;
    }
    return is_avoided(upstream, now) ? silent : usable;
}

/// Returns the load of this and the other hosts per slot of the upstream.
double load_of(const upstream_incarnation& upstream, base::time_point now)
{
    // A flow with an open request counts by the mean of the requests: where flows carry one request, the
    // latest sum of the flows differs from the present one as much as that of the requests does.
    const double idle_remote_flows = upstream.remote_flows - std::min(upstream.remote_flows, upstream.remote_requests);
    const double flows = upstream.flows + idle_remote_flows + upstream.mean_remote_requests;
    const double requests = upstream.open_requests + upstream.mean_remote_requests;
    const double load = (1.0 + flows + request_weight * requests) * upstream.load_factor / upstream.entry.slots *
                            upstream.relative_answer_time +
                        rejection_load(upstream, now);
    return is_starting(upstream, now) ? load * warm_up_slowdown : load;
}

/// Returns how far the load may differ from the present one because the other hosts' requests are known late.
double load_uncertainty(const upstream_incarnation& upstream)
{
    return (1 + request_weight) * upstream.mean_remote_requests / upstream.entry.slots;
}

/// Requests that an upstream queues beyond its slots before it rejects some.
constexpr std::uint32_t queued_requests = 8;

/// Returns true when an upstream with this many open requests rejects the next one. One slot is what a registration
/// without a statement has, so that it says nothing about the room.
bool is_queue_full(const upstream_incarnation& upstream, double open_requests)
{
    return upstream.entry.slots > 1 && open_requests >= upstream.entry.slots + queued_requests;
}

/// Returns true when the upstream has no room, or holds as many flows as it may. Where flows are short, the requests of
/// other hosts are known too late to exclude it by them: all hosts would leave it together, fill the other upstreams
/// and come back. They are part of its load, and its rejections are.
bool is_full(const upstream_incarnation& upstream, const selection_request& request)
{
    const double remote_requests = request.has_short_flows ? 0 : upstream.mean_remote_requests;
    const auto max_flows = request.limits.max_flows;
    return is_queue_full(upstream, upstream.open_requests + remote_requests) ||
           (max_flows > 0 && upstream.flows + upstream.remote_flows >= max_flows);
}

/// Returns true when new flows to the upstream are likely to be rejected, by all that is known.
bool is_crowded(const upstream_incarnation& upstream, const selection_request& request, base::time_point now)
{
    return is_full(upstream, request) || is_rejecting(upstream, now) ||
           is_queue_full(upstream, upstream.open_requests + upstream.mean_remote_requests);
}

/// Returns true when the upstream is starting and gets no new flow from this host now.
bool is_held_back(const upstream_incarnation& upstream, const selection_request& request, base::time_point now)
{
    return request.warm_ups != nullptr && request.limits.warm_up_rate > 0 && is_starting(upstream, now) &&
           !request.warm_ups->has_token(upstream.token, now);
}

using candidates = std::vector<upstream_incarnation*>;

/// Returns a random candidate, in proportion to how many requests each one answers in a time.
upstream_incarnation* select_by_speed(const candidates& from, base::random_source& random)
{
    double total = 0;
    for (const auto* upstream : from)
    {
        total += 1 / upstream->relative_answer_time;
    }
    double position = random.unit() * total;
    for (auto* upstream : from)
    {
        position -= 1 / upstream->relative_answer_time;
        if (position < 0)
        {
            return upstream;
        }
    }
    return from.back();
}

upstream_incarnation* select_evenly(const candidates& from, base::random_source& random)
{
    return from[random.below(from.size())];
}

/// Selects among candidates that differ in speed: one of two that are drawn by speed, and for a small
/// part of the flows any of them.
upstream_incarnation* select_among_uneven(const candidates& from, base::random_source& random, base::time_point now)
{
    if (random.unit() < even_share)
    {
        return select_evenly(from, random);
    }
    auto* first = select_by_speed(from, random);
    auto* second = select_by_speed(from, random);
    return load_of(*first, now) > speed_preference * load_of(*second, now) + speed_allowance ? second : first;
}

/// Returns the less loaded of two random candidates, or as `select_among_uneven` does when they
/// differ in speed; null when there are none.
upstream_incarnation* select_less_loaded(const candidates& from, bool has_short_flows, base::random_source& random,
                                         base::time_point now)
{
    if (from.empty())
    {
        return nullptr;
    }
    if (std::any_of(from.begin(), from.end(), [](const auto* upstream) { return upstream->relative_answer_time != 1; }))
    {
        return select_among_uneven(from, random, now);
    }
    auto* first = select_evenly(from, random);
    auto* second = select_evenly(from, random);
    // With certainty of the loads, the less loaded one is selected. The share of the more loaded one rises to
    // a half with the uncertainty.
    const double uncertainty = has_short_flows ? std::max(load_uncertainty(*first), load_uncertainty(*second)) : 0;
    const double excess = load_of(*first, now) - load_of(*second, now);
    return excess > uncertainty * (2 * random.unit() - 1) ? second : first;
}

/// Returns the local upstream unless its load is much higher. The share of the flows that leave rises
/// with the difference, so that hosts with late sums do not send all flows to and fro.
upstream_incarnation* prefer_local(upstream_incarnation* local, upstream_incarnation* remote,
                                   base::random_source& random, base::time_point now)
{
    if (local == nullptr || remote == nullptr)
    {
        return local == nullptr ? remote : local;
    }
    const double load = load_of(*local, now);
    const double excess = load - local_preference * load_of(*remote, now) - local_allowance;
    const double band = std::max(overflow_band, relative_overflow_band * load);
    return excess > 0 && excess > band * random.unit() ? remote : local;
}

/// Returns one of the upstreams behind a silent link when the new flow is to try whether that is back,
/// otherwise null.
upstream_incarnation* select_trial(const candidates& cut_off, const selection_request& request,
                                   base::random_source& random, base::time_point now)
{
    if (cut_off.empty() || !request.first_try)
    {
        return nullptr;
    }
    auto* candidate = cut_off[random.below(cut_off.size())];
    return request.links->take_trial(candidate->entry.data_centre, now) ? candidate : nullptr;
}

} // namespace

bool takes_new_flows(const upstream_incarnation& upstream, const evacuation_table& evacuations)
{
    return !upstream.entry.draining && !upstream.ended && !evacuations.is_evacuated(upstream.entry.data_centre);
}

selection select_upstream(const upstream_registry& registry, const evacuation_table& evacuations,
                          const selection_request& request, base::random_source& random, base::time_point now)
{
    std::array<candidates, excluded> local;
    std::array<candidates, excluded> remote;
    selection result;
    upstream_incarnation* fallback = nullptr;
    // A data centre that is returning takes the flows whose number is below its share.
    const bool has_returned = evacuations.has_returned();
    const double flow_number = has_returned ? random.unit() : 0;
    std::size_t total = 0;
    std::size_t crowded = 0;
    for (auto* upstream : registry.of_service(request.service))
    {
        const auto& data_centre = upstream->entry.data_centre;
        const bool is_local = data_centre == request.data_centre;
        if (!takes_new_flows(*upstream, evacuations))
        {
            if (!upstream->entry.draining && !upstream->ended)
            {
                result.refusal =
                    result.refusal == steering_reason::no_upstream ? steering_reason::evacuated : result.refusal;
                result.left_data_centre = result.left_data_centre || is_local;
            }
            continue;
        }
        if (is_held_back(*upstream, request, now))
        {
            result.refusal = steering_reason::warm_up_limit;
            continue;
        }
        const bool has_room = !is_full(*upstream, request);
        ++total;
        crowded += is_crowded(*upstream, request, now) ? 1 : 0;
        if (upstream == request.tried)
        {
            fallback = upstream;
            continue;
        }
        auto found = class_of(registry, *upstream, now);
        if (has_returned && found == usable &&
            flow_number >= evacuations.share_of(data_centre, request.limits.warm_up_time, now))
        {
            found = returning;
        }
        found = found <= returning && !has_room ? full : found;
        found = found <= full && request.links != nullptr && request.links->is_silent(data_centre) ? cut_off : found;
        (is_local ? local : remote)[found].push_back(upstream);
    }
    result.short_of_room = 2 * crowded > total;
    if (result.upstream = select_trial(remote[cut_off], request, random, now); result.upstream != nullptr)
    {
        return result;
    }
    result.upstream = fallback;
    for (std::size_t found = usable; found < excluded; ++found)
    {
        auto* local_choice = select_less_loaded(local[found], request.has_short_flows, random, now);
        auto* remote_choice = select_less_loaded(remote[found], request.has_short_flows, random, now);
        if (auto* chosen = prefer_local(local_choice, remote_choice, random, now); chosen != nullptr)
        {
            result.upstream = chosen;
            break;
        }
    }
    return result;
}

} // namespace galenabay::steer
