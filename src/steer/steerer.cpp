#include <galenabay/steer/steerer.hpp>

#include "flow_table.hpp"
#include "opening_queue.hpp"
#include "upstream_evidence.hpp"
#include "upstream_selection.hpp"

#include <galenabay/base/invariant.hpp>

#include <algorithm>

#include <utility>

namespace galenabay::steer
{

namespace
{

/// How often flows are looked through for old ones.
constexpr base::duration sweep_interval = std::chrono::seconds{1};

/// Position `a` lies after `b` in a stream whose positions wrap.
bool is_after(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

steering_decision drop(steering_reason reason)
{
    return {.action = steering_action::drop, .reason = reason, .upstream = {}, .reset = {}};
}

steering_decision reset(const packet_head& head, steering_reason reason)
{
    const auto sequence = head.opening ? 0 : head.acknowledged;
    return {.action = steering_action::reset,
            .reason = reason,
            .upstream = {},
            .reset = {.flow = head.flow, .sequence = sequence}};
}

steering_decision forward(const upstream_incarnation& to, steering_reason reason)
{
    GALENABAY_INVARIANT(!to.ended && to.token != 0 && to.entry.number != 0);
    return {.action = steering_action::forward,
            .reason = reason,
            .token = to.token,
            .upstream_number = to.entry.number,
            .upstream = to.entry.address,
            .reset = {}};
}

} // namespace

steerer::steerer(steering_options options, std::uint64_t seed)
    : options_{std::move(options)}, random_{seed}, registry_{options_.registry},
      flows_{std::make_unique<flow_table>(options_.max_flows)}, openings_{std::make_unique<opening_queue>()}
{
}

steerer::~steerer() = default;

std::size_t steerer::flow_count() const noexcept
{
    return flows_->size();
}

bool steerer::on_configuration(const configuration& next)
{
    const auto before = routes_.version();
    const bool adopted = routes_.adopt(next);
    GALENABAY_INVARIANT(routes_.version() >= before);
    return adopted;
}

steerer::outcome steerer::on_upstream_list(const std::vector<upstream_entry>& entries, std::uint64_t revision,
                                           base::time_point now)
{
    has_upstreams_ = true;
    return follow_up(registry_.replace_all(entries, revision, now));
}

steerer::outcome steerer::on_upstream(const upstream_entry& entry, base::time_point now)
{
    return follow_up({registry_.put(entry, now)});
}

steerer::outcome steerer::on_upstream_removed(const std::string& id, std::uint64_t revision, base::time_point now)
{
    return follow_up({registry_.remove(id, revision, now)});
}

steerer::outcome steerer::follow_up(std::vector<upstream_registry::change> changes)
{
    outcome learned;
    for (const auto& change : changes)
    {
        if (change.kind == upstream_change::none)
        {
            continue;
        }
        learned.changes.push_back(change);
        if (change.kind == upstream_change::ended)
        {
            reset_flows(*change.incarnation, steering_reason::upstream_ended, learned.resets);
        }
    }
    if (std::any_of(changes.begin(), changes.end(),
                    [](const auto& change) { return change.kind == upstream_change::restarted; }))
    {
        registry_.for_each(
            [&](const upstream_incarnation& incarnation)
            {
                if (incarnation.ended && incarnation.flows > 0)
                {
                    reset_flows(incarnation, steering_reason::upstream_ended, learned.resets);
                }
            });
    }
    return learned;
}

void steerer::reset_flows(const upstream_incarnation& ended, steering_reason reason, std::vector<lost_flow>& resets)
{
    flows_->erase_if(
        [&](const flow_key& key, flow_state& flow)
        {
            if (flow.token != ended.token)
            {
                return false;
            }
            if (!flow.closing)
            {
                resets.push_back(
                    {.reset = {.flow = key, .sequence = flow.acknowledged}, .token = ended.token, .reason = reason});
            }
            release(flow);
            return true;
        });
}

void steerer::release(flow_state& flow)
{
    auto* upstream = registry_.find(flow.token);
    if (upstream == nullptr || flow.closing)
    {
        return;
    }
    GALENABAY_INVARIANT(upstream->flows > 0);
    --upstream->flows;
    if (flow.waiting)
    {
        GALENABAY_INVARIANT(upstream->open_requests > 0);
        --upstream->open_requests;
    }
    flow.waiting = false;
    flow.closing = true;
}

steering_decision steerer::on_packet(const packet_head& head, base::time_point now)
{
    if (head.opening)
    {
        return on_opening(head, now);
    }
    if (head.token == 0)
    {
        return drop(steering_reason::token_missing);
    }
    auto* upstream = registry_.find(head.token);
    if (upstream == nullptr)
    {
        return drop(steering_reason::token_unknown);
    }
    auto* flow = flows_->find(head.flow);
    if (upstream->ended)
    {
        if (flow != nullptr)
        {
            release(*flow);
            flows_->erase(head.flow);
        }
        return reset(head, steering_reason::upstream_ended);
    }
    if (flow != nullptr && flow->token != head.token)
    {
        release(*flow);
        flows_->erase(head.flow);
        flow = nullptr;
    }
    if (flow == nullptr && !head.closing && !head.aborting)
    {
        flow = flows_->insert(head.flow);
        if (flow != nullptr)
        {
            *flow = {.token = head.token, .last_seen = now, .acknowledged = head.acknowledged, .established = true};
            ++upstream->flows;
        }
    }
    if (flow != nullptr)
    {
        observe(*flow, *upstream, head, now);
        if (should_reset(*flow, *upstream, now))
        {
            release(*flow);
            flows_->erase(head.flow);
            return reset(head, steering_reason::upstream_silent);
        }
    }
    return forward(*upstream, steering_reason::token);
}

void steerer::observe(flow_state& flow, upstream_incarnation& upstream, const packet_head& head, base::time_point now)
{
    flow.last_seen = now;
    const bool answered = is_after(head.acknowledged, flow.acknowledged) || !flow.established;
    if (answered)
    {
        flow.established = true;
        flow.acknowledged = head.acknowledged;
        flow.repeats = 0;
        note_progress(upstream, now);
        if (flow.waiting)
        {
            flow.waiting = false;
            --upstream.open_requests;
        }
    }
    if (head.closing || head.aborting)
    {
        release(flow);
    }
    if (head.data_size == 0 || flow.closing)
    {
        return;
    }
    if (flow.sent_at == base::time_point{} || is_after(head.sequence, flow.sequence))
    {
        flow.sequence = head.sequence;
        flow.sent_at = now;
        flow.repeats = 0;
        if (!flow.waiting)
        {
            flow.waiting = true;
            ++upstream.open_requests;
        }
    }
    else if (head.sequence == flow.sequence && !answered)
    {
        ++flow.repeats;
        note_silence(upstream, now);
        if (flow.repeats >= silent_repeats)
        {
            suspect(upstream, now);
        }
    }
}

steering_decision steerer::on_unrouted(const packet_head& head) const
{
    if (routes_.was_removed(head.flow.service_address, head.flow.service_port))
    {
        return reset(head, steering_reason::route_removed);
    }
    // A newer configuration may have the route: the caller's copies find it when
    // this host has learned of it in the meantime.
    constexpr std::uint32_t last_copy = 2;
    return head.acknowledged >= last_copy ? reset(head, steering_reason::no_route) : drop(steering_reason::no_route);
}

steering_decision steerer::on_opening(const packet_head& head, base::time_point now)
{
    if (!is_ready())
    {
        return drop(steering_reason::not_ready);
    }
    const auto* service = routes_.draw_service(head.flow.service_address, head.flow.service_port, random_);
    if (service == nullptr)
    {
        return on_unrouted(head);
    }
    auto* known = flows_->find(head.flow);
    auto* tried = known != nullptr && !known->established ? registry_.find(known->token) : nullptr;
    if (tried != nullptr)
    {
        if (head.acknowledged == 0 && !tried->ended && tried->entry.service == *service)
        {
            return forward(*tried, steering_reason::new_flow);
        }
        note_silence(*tried, now);
    }
    auto* chosen = select_upstream(registry_, *service, options_.data_centre, tried, random_, now);
    if (chosen == nullptr)
    {
        return reset(head, steering_reason::no_upstream);
    }
    GALENABAY_INVARIANT(chosen->entry.service == *service && !chosen->entry.draining);
    count_opening(head, *chosen, known, now);
    return forward(*chosen, tried == nullptr ? steering_reason::new_flow : steering_reason::next_upstream);
}

void steerer::count_opening(const packet_head& head, upstream_incarnation& chosen, flow_state* known,
                            base::time_point now)
{
    if (known != nullptr)
    {
        release(*known);
    }
    auto* flow = known != nullptr ? known : flows_->insert(head.flow);
    if (flow == nullptr)
    {
        return;
    }
    *flow = {.token = chosen.token, .last_seen = now};
    ++chosen.flows;
    openings_->push({.flow = head.flow, .token = chosen.token, .sent_at = now});
}

void steerer::forget_old_flows(base::time_point now)
{
    const auto idle_limit = routes_.idle_timeout();
    flows_->erase_if(
        [&](const flow_key&, flow_state& flow)
        {
            const auto unused = now - flow.last_seen;
            if (unused < (flow.closing ? options_.closed_memory : idle_limit))
            {
                return false;
            }
            release(flow);
            return true;
        });
}

steerer::outcome steerer::on_tick(base::time_point now)
{
    if (now - last_tick_ > options_.pause_limit)
    {
        // Attempts to connect that ended meanwhile show nothing either.
        registry_.for_each([&](upstream_incarnation& upstream) { note_progress(upstream, now); });
    }
    last_tick_ = now;
    check_openings(now);
    if (now - last_sweep_ >= sweep_interval)
    {
        last_sweep_ = now;
        forget_old_flows(now);
    }
    auto learned = follow_up(registry_.expire(now));
    registry_.for_each(
        [&](const upstream_incarnation& upstream)
        {
            if (!upstream.ended && upstream.flows > 0 && is_confirmed_silent(upstream, now))
            {
                reset_flows(upstream, steering_reason::upstream_silent, learned.resets);
            }
        });
    return learned;
}

} // namespace galenabay::steer
