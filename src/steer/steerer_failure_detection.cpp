#include <galenabay/steer/steerer.hpp>

#include "flow_table.hpp"
#include "sent_packet_queue.hpp"
#include "upstream_evidence.hpp"

#include <algorithm>

// Detection of failed upstreams by flows, other hosts' reports and attempts to connect.
namespace galenabay::steer
{

namespace
{

/// Age of the latest answer to another host up to which it shows that the upstream answers: sums are up to a second
/// late.
constexpr base::duration longest_answer_age = std::chrono::milliseconds{1'500};

} // namespace

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
    record_remote_load(*upstream, seen.flows, seen.open_requests, now);
    upstream->silence_votes = seen.silence_votes;
    upstream->unreachable_votes = seen.unreachable_votes;
    upstream->fleet_answer_times = seen.answer_times;
    upstream->fleet_answer_times_at = now;
    if (!seen.answer_times.is_empty())
    {
        upstream->fleet_samples_at = now;
    }
    if (seen.answered_ago)
    {
        upstream->remote_progress = std::max(upstream->remote_progress, now - *seen.answered_ago);
    }
    upstream->voted_since = seen.silence_votes > 0 ? std::optional{upstream->voted_since.value_or(now)} : std::nullopt;
    // This host's own evidence takes precedence over that of other hosts.
    if (seen.silence_votes > 0 && now - upstream->last_progress >= options_.silence_limit)
    {
        upstream->voted_until = does_answer_others(*upstream, now) ? base::time_point{} : now + options_.vote_time;
        links_.on_sign(upstream->entry.data_centre, token, data_centre_evidence::sign::vote, now, now);
        if (seen.unreachable_votes > 0)
        {
            request_probe(*upstream, now);
        }
    }
}

bool steerer::does_answer_others(const upstream_incarnation& upstream, base::time_point now) const
{
    if (upstream.unreachable_votes >= options_.confirming_votes)
    {
        return false;
    }
    const auto voted_since = upstream.voted_since.value_or(now);
    // The age of an answer does not contain the time that reports are under way; a process with a CPU quota may not run
    // for a tenth of a second.
    constexpr auto margin = std::chrono::milliseconds{100};
    // Hosts near the upstream get answers also while the link from here is cut.
    const bool is_linked = upstream.entry.data_centre == options_.data_centre ||
                           links_.last_answer(upstream.entry.data_centre) > voted_since;
    return is_linked && upstream.remote_progress > voted_since + margin &&
           now - upstream.remote_progress < longest_answer_age;
}

bool steerer::is_avoided_locally(const upstream_incarnation& upstream, base::time_point now) const
{
    // Not `is_avoided`: votes that other hosts' votes lead to would keep each other alive.
    const bool is_enough = upstream.unanswered_syns >= required_unanswered_syns && now < upstream.avoid_until;
    return is_silent(upstream, now) || is_unreachable(upstream, now) || is_enough ||
           (upstream.unanswered_syns > 0 && links_.is_silent(upstream.entry.data_centre));
}

void steerer::check_unanswered_syns(base::time_point now)
{
    unanswered_syns_->pop_older(
        now - options_.syn_answer_limit,
        [&](const sent_packet_queue::sent_packet& sent)
        {
            auto* flow = flows_->find(sent.flow);
            auto* upstream = registry_.find(sent.token);
            if (flow == nullptr || upstream == nullptr || flow->established || flow->token != sent.token)
            {
                return;
            }
            stop_counting(*flow, *upstream);
            if (upstream->last_progress > sent.sent_at)
            {
                return;
            }
            const bool has_votes = upstream->silence_votes > 0 && !does_answer_others(*upstream, now);
            silence_count_ += record_unanswered_syn(*upstream, has_votes, now, options_.avoid_time) ? 1 : 0;
            links_.on_sign(upstream->entry.data_centre, sent.token, data_centre_evidence::sign::unanswered_syn,
                           sent.sent_at, now);
            request_probe(*upstream, now);
        });
}

void steerer::on_retransmission(upstream_incarnation& upstream, base::time_point sent_at, base::time_point now)
{
    const bool was_silent = is_silent(upstream, now);
    record_retransmission(upstream, sent_at, now, options_.silence_limit, options_.avoid_time);
    silence_count_ += is_silent(upstream, now) && !was_silent ? 1 : 0;
    links_.on_sign(upstream.entry.data_centre, upstream.token, data_centre_evidence::sign::retransmission, sent_at,
                   now);
    if (is_suspected(upstream, now, options_.silence_limit))
    {
        request_probe(upstream, now);
    }
}

void steerer::request_probe(upstream_incarnation& upstream, base::time_point now)
{
    auto& probes = upstream.probes;
    const bool is_pending = probes.pending && now - probes.begun_at < options_.probe_lifetime;
    const bool is_unused = upstream.flows == 0 && upstream.unanswered_syns == 0;
    if (upstream.ended || is_unused || is_pending || now < probes.not_before || has_unconfirmed_failures(upstream, now))
    {
        return;
    }
    probes.pending = true;
    probes.begun_at = now;
    probes.unreachable_count = 0;
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
    if (result == probe_result::reachable)
    {
        probes.pending = false;
        probes.not_before = now + options_.probe_pause;
        probes.reached_at = now;
        probes.failed_at = {};
        probes.unreachable_count = 0;
        upstream->avoid_until = std::max(upstream->silent_until, std::min(upstream->avoid_until, probes.not_before));
        return {};
    }
    probes.failed_at = now;
    outcome effects;
    if (result == probe_result::refused)
    {
        expect_restart(*upstream, now);
        reset_unless_answered(*upstream, effects.resets, now);
        return effects;
    }
    probe_failed_at_ = now;
    // The first failure is reported to the other hosts so that they probe, too.
    silence_count_ += ++probes.unreachable_count == 1 ? 1 : 0;
    if (is_confirmed_unreachable(*upstream, now))
    {
        reset_unless_answered(*upstream, effects.resets, now);
    }
    else if (probes.unreachable_count < options_.unreachable_limit)
    {
        probe_requests_.push_back({.token = token, .address = upstream->entry.address});
    }
    else
    {
        probes.pending = false;
    }
    return effects;
}

void steerer::reset_unless_answered(upstream_incarnation& upstream, std::vector<lost_flow>& resets,
                                    base::time_point now)
{
    const bool has_answered = has_answered_probes(upstream);
    upstream.probes.pending = false;
    upstream.probes.unreachable_count = 0;
    if (has_answered)
    {
        return;
    }
    mark_silent(upstream, now, options_.avoid_time);
    ++silence_count_;
    reset_flows(upstream, resets, now);
}

steerer::outcome steerer::check_votes(base::time_point now)
{
    outcome effects;
    if (!awaits_votes(now))
    {
        return effects;
    }
    registry_.for_each(
        [&](upstream_incarnation& upstream)
        {
            if (!upstream.ended && has_unconfirmed_failures(upstream, now) &&
                upstream.unreachable_votes >= options_.confirming_votes)
            {
                reset_unless_answered(upstream, effects.resets, now);
            }
        });
    return effects;
}

bool steerer::has_unconfirmed_failures(const upstream_incarnation& upstream, base::time_point now) const
{
    const auto& probes = upstream.probes;
    return probes.unreachable_count > 0 && now - probes.failed_at < options_.confirmation_time &&
           !has_answered_probes(upstream);
}

bool steerer::is_unreachable(const upstream_incarnation& upstream, base::time_point now) const
{
    const auto& probes = upstream.probes;
    return now - probes.failed_at < options_.avoid_time && upstream.last_progress < probes.failed_at;
}

bool steerer::is_confirmed_unreachable(const upstream_incarnation& upstream, base::time_point now)
{
    const auto limit = upstream.unreachable_votes >= options_.confirming_votes ? 1 : options_.unreachable_limit;
    if (upstream.probes.unreachable_count < limit)
    {
        return false;
    }
    return peer_count_ > 0 ? upstream.unreachable_votes > 0 : do_most_upstreams_answer(upstream.probes.begun_at, now);
}

bool steerer::do_most_upstreams_answer(base::time_point since, base::time_point now)
{
    std::size_t silent = 0;
    std::size_t answering = 0;
    registry_.for_each(
        [&](const upstream_incarnation& other)
        {
            silent += !other.ended && is_doubted(other, now) ? 1 : 0;
            answering += !other.ended && !is_doubted(other, now) && other.last_progress > since ? 1 : 0;
        });
    return answering >= silent;
}

} // namespace galenabay::steer
