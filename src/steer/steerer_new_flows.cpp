#include <galenabay/steer/steerer.hpp>

#include "answer_time_sampler.hpp"
#include "flow_table.hpp"
#include "sent_packet_queue.hpp"
#include "steering_actions.hpp"
#include "syn_relays.hpp"
#include "upstream_selection.hpp"

#include <galenabay/base/invariant.hpp>

#include <algorithm>
#include <utility>

// Decisions about SYNs of callers, and about those that other hosts passed on.
namespace galenabay::steer
{

steering_decision steerer::refuse(const packet_header& header, steering_reason reason, bool may_be_open)
{
    // The starting upstream that got the earlier SYN may have opened the flow just now. The last
    // retransmission tells that it has not.
    const bool is_last = header.acknowledged >= last_retransmission;
    return reason == steering_reason::warm_up_limit && may_be_open && !is_last ? drop(reason) : reset(header, reason);
}

steering_decision steerer::relay_or_refuse(const packet_header& header, const std::string& service,
                                           const relayed_syn* relayed, bool may_relay, base::time_point now)
{
    const auto passes = passes_of(relayed);
    const bool is_relayed_copy = relayed != nullptr && may_have_opened(header);
    const bool may_be_open = is_relayed_copy || relays_->was_passed_on(header.flow, passes, now);
    if (const auto target = may_relay ? select_relay(header, service, passes, now) : std::nullopt)
    {
        relays_->record(header.flow, passes, now);
        auto decision = reset(header, steering_reason::relayed);
        decision.action = steering_action::relay;
        decision.relay = *target;
        return decision;
    }
    return refuse(header, steering_reason::warm_up_limit, may_be_open);
}

steering_decision steerer::on_unrouted(const packet_header& header) const
{
    if (routes_.was_removed(header.flow.service_address, header.flow.service_port))
    {
        return reset(header, steering_reason::route_removed);
    }
    // A newer configuration may have the route: a retransmitted SYN finds it when the
    // configuration has arrived in the meantime.
    return header.acknowledged >= last_retransmission ? reset(header, steering_reason::no_route)
                                                      : drop(steering_reason::no_route);
}

steering_decision steerer::on_relayed(const relayed_syn& relayed, base::time_point now)
{
    relays_->count_received(now);
    if (relayed.receiver != host_key(options_.warm_ups.self.host))
    {
        // A host that took the address of another one would open flows that a repeated datagram opens there.
        return drop(steering_reason::relayed);
    }
    return on_syn(relayed.header, &relayed, now);
}

steering_decision steerer::on_syn(const packet_header& header, const relayed_syn* relayed, base::time_point now)
{
    if (!is_ready())
    {
        return drop(steering_reason::not_ready);
    }
    const auto [address, port] = std::pair{header.flow.service_address, header.flow.service_port};
    auto route = relayed != nullptr ? routes_.find(address, port, relayed->service) : route_table::route_choice{};
    route = route.service == nullptr ? routes_.select(address, port, random_) : route;
    if (route.service == nullptr)
    {
        return on_unrouted(header);
    }
    const auto& service = *route.service;
    auto* known = flows_->find(header.flow);
    if (known != nullptr && known->was_reset)
    {
        flows_->erase(header.flow);
        known = nullptr;
    }
    auto* tried = known != nullptr && !known->established ? registry_.find(known->token) : nullptr;
    if (tried != nullptr)
    {
        // A duplicate of the first SYN is no retransmission and goes to the same upstream.
        if (header.acknowledged == 0 && takes_new_flows(*tried, evacuations_) && tried->entry.service == service)
        {
            return take_warm_up_token(*tried, now) ? forward(*tried, steering_reason::new_flow)
                                                   : drop(steering_reason::warm_up_limit);
        }
        // Each copy of a SYN may go to another upstream. A full one refuses SYNs, so that callers do not repeat them:
        // if they do, all that were not answered count.
        const auto waited_since =
            tried->unanswered_syns > 0 ? std::min(known->last_seen, tried->unanswered_since) : known->last_seen;
        on_retransmission(*tried, waited_since, now);
    }
    // Copies of a SYN that was passed on follow it, so that they do not open the flow on two upstreams.
    // The last one may not, since the host that they were passed on to may be lost.
    const bool was_passed_on = relays_->was_passed_on(header.flow, passes_of(relayed), now);
    if (tried == nullptr && header.acknowledged < last_retransmission && was_passed_on)
    {
        return relay_or_refuse(header, service, relayed, true, now);
    }
    const bool may_relay = relayed != nullptr || take_relay_budget(header, service, now);
    if (relayed == nullptr && !has_room(header, route, known, now))
    {
        return reset(header, steering_reason::no_room);
    }
    const auto selected = select_upstream(registry_, evacuations_,
                                          {.service = service,
                                           .data_centre = options_.data_centre,
                                           .limits = routes_.limits_of(service),
                                           .tried = tried,
                                           .links = &links_,
                                           .first_try = header.acknowledged == 0 && tried == nullptr,
                                           .warm_ups = &warm_ups_,
                                           .has_short_flows = answer_times_->has_short_flows(service)},
                                          random_, now);
    if (stays_on(tried, service, selected.short_of_room))
    {
        return take_warm_up_token(*tried, now) ? forward(*tried, steering_reason::new_flow)
                                               : drop(steering_reason::warm_up_limit);
    }
    moved_flow_count_ += selected.left_data_centre ? 1 : 0;
    if (selected.upstream == nullptr)
    {
        return selected.refusal == steering_reason::warm_up_limit && tried == nullptr
                   ? relay_or_refuse(header, service, relayed, may_relay && !was_passed_on, now)
                   : refuse(header, selected.refusal, tried != nullptr);
    }
    auto* chosen = selected.upstream;
    GALENABAY_INVARIANT(chosen->entry.service == service && takes_new_flows(*chosen, evacuations_));
    const bool is_admitted = take_warm_up_token(*chosen, now);
    GALENABAY_INVARIANT(is_admitted);
    track_syn(header, *chosen, known, relayed != nullptr, now);
    if (header.acknowledged == 0)
    {
        admission_.count_forwarded(route.admission, now);
    }
    return forward(*chosen, tried == nullptr ? steering_reason::new_flow : steering_reason::next_upstream);
}

void steerer::track_syn(const packet_header& header, upstream_incarnation& chosen, flow_state* known, bool is_relayed,
                        base::time_point now)
{
    if (known != nullptr)
    {
        release(*known);
    }
    auto* flow = known != nullptr ? known : flows_->insert(header.flow);
    if (flow == nullptr)
    {
        return;
    }
    *flow = {.token = chosen.token, .last_seen = now, .opened_at = now, .closing = is_relayed};
    if (is_relayed)
    {
        return;
    }
    ++chosen.flows;
    unanswered_syns_->push({.flow = header.flow, .token = chosen.token, .sent_at = now});
}

} // namespace galenabay::steer
