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

/// Repeats of one packet after which its upstream counts as silent for the flow:
/// the caller has then waited 200 ms and 400 ms.
constexpr std::uint8_t silent_repeats = 2;
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

bool steerer::is_silent(const upstream_incarnation& upstream, base::time_point now) const
{
    return now < upstream.silent_until;
}

void steerer::on_remote_view(upstream_token token, const remote_view& seen, base::time_point now)
{
    auto* upstream = registry_.find(token);
    if (upstream == nullptr)
    {
        return;
    }
    upstream->remote_flows = seen.flows;
    upstream->remote_requests = seen.open_requests;
    upstream->silence_votes = seen.silence_votes;
    if (seen.answered_ago)
    {
        upstream->remote_progress = std::max(upstream->remote_progress, now - *seen.answered_ago);
    }
    // What this host sees itself goes before what others say.
    if (seen.silence_votes > 0 && now - upstream->last_progress >= options_.silence_limit)
    {
        upstream->avoid_until = std::max(upstream->avoid_until, now + options_.vote_time);
    }
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
            reset_flows(*change.incarnation, learned.resets);
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
                    reset_flows(incarnation, learned.resets);
                }
            });
    }
    return learned;
}

void steerer::reset_flows(const upstream_incarnation& ended, std::vector<flow_reset>& resets)
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
                resets.push_back({.flow = key, .sequence = flow.acknowledged});
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
    }
}

bool steerer::is_avoided_here(const upstream_incarnation& upstream, base::time_point now) const
{
    return is_silent(upstream, now) || (upstream.unanswered > 0 && is_avoided(upstream, now));
}

void steerer::check_openings(base::time_point now)
{
    openings_->take_older(now - options_.opening_limit,
                          [&](const opening_queue::opening& sent)
                          {
                              const auto* flow = flows_->find(sent.flow);
                              auto* upstream = registry_.find(sent.token);
                              if (flow == nullptr || upstream == nullptr || flow->established ||
                                  flow->token != sent.token || upstream->last_progress > sent.sent_at)
                              {
                                  return;
                              }
                              silence_count_ += note_unanswered(*upstream, now, options_.avoid_time) ? 1 : 0;
                          });
}

void steerer::note_silence(upstream_incarnation& upstream, base::time_point now)
{
    const bool before = is_silent(upstream, now);
    note_repeat(upstream, now, options_.silence_limit, options_.avoid_time);
    silence_count_ += is_silent(upstream, now) && !before ? 1 : 0;
}

bool steerer::should_reset(const flow_state& flow, const upstream_incarnation& upstream, base::time_point now)
{
    const auto enough_repeats = is_confirmed_silent(upstream, now) ? 1 : silent_repeats;
    if (flow.closing || flow.repeats < enough_repeats || !is_silent(upstream, now) ||
        upstream.last_progress > flow.sent_at)
    {
        return false;
    }
    // A host whose own link drops packets sees silence too: what other hosts see tells
    // the two apart. Without others, most upstreams being silent does.
    return peer_count_ > 0 ? upstream.silence_votes > 0 && is_silent_everywhere(upstream, now)
                           : is_most_answering(flow.sent_at, now);
}

bool steerer::is_confirmed_silent(const upstream_incarnation& upstream, base::time_point now) const
{
    return is_silent(upstream, now) && upstream.silence_votes >= options_.confirming_votes &&
           is_silent_everywhere(upstream, now);
}

bool steerer::is_silent_everywhere(const upstream_incarnation& upstream, base::time_point now) const
{
    return now - std::max(upstream.last_progress, upstream.remote_progress) >= options_.reset_silence;
}

bool steerer::is_most_answering(base::time_point since, base::time_point now)
{
    std::size_t silent = 0;
    std::size_t answering = 0;
    registry_.for_each(
        [&](const upstream_incarnation& other)
        {
            silent += !other.ended && is_avoided(other, now) ? 1 : 0;
            answering += !other.ended && !is_avoided(other, now) && other.last_progress > since ? 1 : 0;
        });
    return answering >= silent;
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
                reset_flows(upstream, learned.resets);
            }
        });
    return learned;
}

} // namespace galenabay::steer
