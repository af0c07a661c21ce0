#include <galenabay/steer/steerer.hpp>

#include "flow_table.hpp"

#include <algorithm>
#include <utility>
#include <vector>

// What becomes of the flows of an incarnation that has ended or does not answer.
namespace galenabay::steer
{

namespace
{

/// `upstream_registry::limits::restart_delay` for a host that knows no other hosts: it watches the store itself, which
/// answers at once. A host that has just started gets the first statuses of the others in this time.
constexpr base::duration lone_restart_delay = std::chrono::milliseconds{900};

lost_flow make_lost(const flow_key& key, const flow_state& flow, steering_reason reason, base::time_point now)
{
    return {.reset = {.flow = key, .sequence = flow.acknowledged},
            .token = flow.token,
            .reason = reason,
            .waited = flow.waiting ? now - flow.sent_at : base::duration{0}};
}

} // namespace

steerer::outcome steerer::process_changes(std::vector<upstream_registry::change> changes, base::time_point now)
{
    outcome effects;
    for (const auto& change : changes)
    {
        if (change.kind == upstream_change::none)
        {
            continue;
        }
        effects.changes.push_back(change);
        record_restart(change, effects, now);
        if (change.kind == upstream_change::ended)
        {
            end_flows(*change.incarnation, effects.resets, now);
        }
    }
    // A restart ends the earlier incarnation, which has no change of its own.
    if (std::any_of(changes.begin(), changes.end(),
                    [](const auto& change) { return change.kind == upstream_change::restarted; }))
    {
        registry_.for_each(
            [&](const upstream_incarnation& incarnation)
            {
                if (incarnation.ended && incarnation.flows > 0)
                {
                    end_flows(incarnation, effects.resets, now);
                }
            });
    }
    return effects;
}

void steerer::reset_flows(const upstream_incarnation& silent, std::vector<lost_flow>& resets, base::time_point now)
{
    flows_->erase_if(
        [&](const flow_key& key, flow_state& flow)
        {
            if (flow.token != silent.token)
            {
                return false;
            }
            // A flow of which only the SYN was seen may have opened on another upstream through
            // another host; its caller retransmits the SYN if it did not.
            if (flow.established && !flow.closing)
            {
                resets.push_back(make_lost(key, flow, steering_reason::upstream_silent, now));
            }
            release(flow);
            return true;
        });
}

void steerer::end_flows(const upstream_incarnation& ended, std::vector<lost_flow>& resets, base::time_point now)
{
    auto* successor = registry_.find_successor(ended);
    const auto opened_until = successor == nullptr ? now : find_last_opened(ended, now);
    flows_->erase_if(
        [&](const flow_key& key, flow_state& flow)
        {
            if (flow.token != ended.token || flow.was_reset)
            {
                return false;
            }
            const bool is_open = flow.established && !flow.closing;
            const bool may_continue = successor != nullptr && flow.opened_at > opened_until;
            if (is_open && !may_continue)
            {
                resets.push_back(make_lost(key, flow, steering_reason::upstream_ended, now));
            }
            release(flow);
            if (!is_open)
            {
                // As in `reset_flows`.
                return true;
            }
            if (may_continue)
            {
                flow.token = successor->token;
                flow.closing = false;
                ++successor->flows;
            }
            else
            {
                // The reset may be lost: the flow is known for `closed_flow_retention`.
                flow.was_reset = true;
                flow.last_seen = now;
            }
            return false;
        });
}

bool steerer::is_alone(base::time_point now) const
{
    return peer_count_ == 0 && !registry_.was_unwatched(now);
}

base::time_point steerer::find_last_opened(const upstream_incarnation& ended, base::time_point now)
{
    std::vector<std::pair<base::time_point, base::time_point>> flows;
    flows_->for_each(
        [&](const flow_state& flow)
        {
            if (flow.token == ended.token && flow.established)
            {
                flows.emplace_back(flow.opened_at, flow.answered_request_at);
            }
        });
    std::sort(flows.begin(), flows.end());
    auto opened_until =
        ended.end_unknown_since - (is_alone(now) ? lone_restart_delay : registry_.bounds().restart_delay);
    for (const auto& [opened_at, answered_request_at] : flows)
    {
        if (opened_at > opened_until)
        {
            break;
        }
        opened_until = std::max(opened_until, answered_request_at);
    }
    return opened_until;
}

upstream_incarnation* steerer::find_continuation(const upstream_incarnation& ended, const flow_state* flow,
                                                 base::time_point now)
{
    auto* successor = registry_.find_successor(ended);
    if (successor == nullptr || (flow != nullptr && flow->token == ended.token && flow->was_reset))
    {
        return nullptr;
    }
    // Without other hosts, nobody opens flows by the earlier token once this host knows of the restart.
    const bool is_known = flow != nullptr && flow->token == successor->token;
    return is_known || !is_alone(now) || now - ended.ended_at < lone_restart_delay ? successor : nullptr;
}

} // namespace galenabay::steer
