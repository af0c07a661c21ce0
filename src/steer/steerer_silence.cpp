#include <galenabay/steer/steerer.hpp>

#include "flow_table.hpp"
#include "opening_queue.hpp"
#include "upstream_evidence.hpp"

#include <algorithm>

// What flows, other hosts and attempts to connect show of upstreams.
namespace galenabay::steer
{

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
    upstream->unreachable_votes = seen.unreachable_votes;
    if (seen.answered_ago)
    {
        upstream->remote_progress = std::max(upstream->remote_progress, now - *seen.answered_ago);
    }
    // What this host sees itself goes before what others say.
    if (seen.silence_votes > 0 && now - upstream->last_progress >= options_.silence_limit)
    {
        upstream->avoid_until = std::max(upstream->avoid_until, now + options_.vote_time);
        if (seen.unreachable_votes > 0)
        {
            suspect(*upstream, now);
        }
    }
}

bool steerer::is_avoided_here(const upstream_incarnation& upstream, base::time_point now) const
{
    return is_silent(upstream, now) || is_unreachable(upstream, now) ||
           (upstream.unanswered > 0 && is_avoided(upstream, now));
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
                              suspect(*upstream, now);
                          });
}

void steerer::note_silence(upstream_incarnation& upstream, base::time_point now)
{
    const bool before = is_silent(upstream, now);
    note_repeat(upstream, now, options_.silence_limit, options_.avoid_time);
    silence_count_ += is_silent(upstream, now) && !before ? 1 : 0;
}

void steerer::suspect(upstream_incarnation& upstream, base::time_point now)
{
    auto& probes = upstream.probes;
    const bool is_pending = probes.pending && now - probes.begun_at < options_.probe_lifetime;
    if (upstream.ended || upstream.flows == 0 || is_pending || now < probes.not_before)
    {
        return;
    }
    probes.pending = true;
    probes.begun_at = now;
    probes.unreachable = 0;
    probe_requests_.push_back({.token = upstream.token, .address = upstream.entry.address});
}

steerer::outcome steerer::on_probe(upstream_token token, probe_result result, base::time_point now)
{
    auto* upstream = registry_.find(token);
    if (upstream == nullptr || upstream->ended || !upstream->probes.pending)
    {
        return {};
    }
    auto& probes = upstream->probes;
    if (result != probe_result::reachable)
    {
        probes.failed_at = now;
    }
    if (result == probe_result::unreachable)
    {
        const auto limit = upstream->unreachable_votes >= options_.confirming_votes ? 1 : options_.unreachable_limit;
        // Other hosts are told after the first failure, so that they look too.
        silence_count_ += ++probes.unreachable == 1 ? 1 : 0;
        if (probes.unreachable < limit)
        {
            probe_requests_.push_back({.token = token, .address = upstream->entry.address});
            return {};
        }
    }
    probes.pending = false;
    probes.not_before = now + options_.probe_pause;
    if (result == probe_result::reachable)
    {
        probes.reached_at = now;
        probes.failed_at = {};
        return {};
    }
    const bool has_answered = std::max(upstream->last_progress, upstream->remote_progress) >= probes.begun_at;
    if (has_answered || (result == probe_result::unreachable && !is_unreachable_for_others(*upstream, now)))
    {
        return {};
    }
    mark_silent(*upstream, now, options_.avoid_time);
    ++silence_count_;
    outcome learned;
    reset_flows(*upstream, steering_reason::upstream_silent, learned.resets);
    return learned;
}

bool steerer::is_unreachable(const upstream_incarnation& upstream, base::time_point now) const
{
    const auto& probes = upstream.probes;
    return now - probes.failed_at < options_.avoid_time && upstream.last_progress < probes.failed_at;
}

bool steerer::is_unreachable_for_others(const upstream_incarnation& upstream, base::time_point now)
{
    return peer_count_ > 0 ? upstream.unreachable_votes > 0 : is_most_answering(upstream.probes.begun_at, now);
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
    return now - std::max(upstream.last_progress, upstream.remote_progress) >= options_.reset_silence &&
           now - upstream.probes.reached_at >= options_.reachable_time;
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

} // namespace galenabay::steer
