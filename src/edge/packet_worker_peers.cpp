#include "packet_worker.hpp"

#include <galenabay/base/log.hpp>
#include <galenabay/base/steady_clock.hpp>

#include <memory>
#include <utility>

namespace galenabay::edge
{

namespace
{

using base::log_event;
using base::log_level;

/// Interval at which the other hosts' loads and votes are passed to the `steerer`.
constexpr base::duration remote_view_interval = std::chrono::milliseconds{200};
/// The same interval while this host waits for votes.
constexpr base::duration awaited_view_interval = std::chrono::milliseconds{50};
/// Shortest time between two statuses that are sent because an upstream became silent.
constexpr base::duration urgent_interval = std::chrono::milliseconds{300};
/// Interval at which a host decides whether it watches the store: a fraction of the time between the checks of two
/// hosts of a small data centre.
constexpr base::duration watch_update_interval = std::chrono::milliseconds{100};
/// Pause between two reads of the configuration: longer than another host takes to answer.
constexpr base::duration read_pause = std::chrono::milliseconds{300};
/// Time after which a newer configuration of another host should long be in force here.
constexpr base::duration behind_alarm = std::chrono::seconds{3};
/// Time that the changes sent by the watching host may take to arrive here.
constexpr base::duration changes_grace = std::chrono::milliseconds{300};

} // namespace

void packet_worker::exchange_with_peers(base::time_point now)
{
    const bool any_status = peers_.receive(now,
                                           [this, now](const peers::fleet_exchange::effects& effects)
                                           {
                                               if (effects.changes)
                                               {
                                                   apply_changes(*effects.changes);
                                               }
                                               if (effects.evacuations)
                                               {
                                                   adopt(*effects.evacuations, "peer");
                                               }
                                               if (effects.shares)
                                               {
                                                   apply_shares(*effects.shares, now);
                                               }
                                           });
    decide_relayed(now);
    if (any_status)
    {
        catch_up(now);
        apply_remote_view(now);
    }
    auto& exchange = peers_.exchange();
    if (steerer_.silence_count() != reported_silence_count_ && now >= next_urgent_)
    {
        reported_silence_count_ = steerer_.silence_count();
        next_urgent_ = now + urgent_interval;
        send_urgent_status(now);
    }
    update_watch(now);
    if (!exchange.is_due(now))
    {
        return;
    }
    update_roles(now);
    peers_.send(exchange.on_tick(status(now), now));
}

void packet_worker::update_watch(base::time_point now)
{
    if (!state_.watch_has_news.exchange(false) && now < next_watch_update_)
    {
        return;
    }
    next_watch_update_ = now + watch_update_interval;
    auto& exchange = peers_.exchange();
    if (const auto is_served = state_.take_store_check())
    {
        exchange.on_store_checked(*is_served, now);
        if (*is_served && !state_.follows.load())
        {
            state_.set_store_reachable();
        }
    }
    const bool follows = exchange.update_watch(state_.store_reachable(), now);
    if (exchange.take_store_check(now))
    {
        state_.request_store_check();
    }
    if (follows != state_.follows.exchange(follows))
    {
        log_event{log_level::info, follows ? "follow_begun" : "follow_ended"}.with("peers", exchange.live_count(now));
        metrics_.follows_store.Set(follows ? 1 : 0);
        state_.wake();
        // The others check whether the store serves them once they know that no host watches it.
        send_urgent_status(now);
    }
}

void packet_worker::send_urgent_status(base::time_point now)
{
    peers_.send(peers_.exchange().on_urgent(status(now), now));
}

void packet_worker::update_roles(base::time_point now)
{
    auto& exchange = peers_.exchange();
    const auto peer_count = exchange.live_count(now);
    state_.alone.store(peer_count == 0);
    if (exchange.collects() != std::exchange(collects_, exchange.collects()))
    {
        log_event{log_level::info, collects_ ? "collect_begun" : "collect_ended"}
            .with("peers", peer_count)
            .with("covered", exchange.covered_hosts(now));
        metrics_.collects.Set(collects_ ? 1 : 0);
    }
    if (const bool due = exchange.should_register(now); due != state_.should_register.exchange(due))
    {
        state_.wake();
    }
}

void packet_worker::check_watch(base::time_point now)
{
    // A host that knows no others has listed the store before it is ready, and watches it about a second later.
    const bool watches = (state_.follows.load() || state_.alone.load()) && state_.store_reachable();
    const bool is_unwatched = steerer_.is_ready() && !watches && !peers_.exchange().has_follower(now);
    if (is_unwatched)
    {
        steerer_.on_store_unwatched(now);
    }
    if (is_unwatched != std::exchange(is_unwatched_, is_unwatched))
    {
        log_event{log_level::info, is_unwatched ? "store_unwatched" : "store_watched"}.with(
            "peers", peers_.exchange().live_count(now));
        metrics_.store_unwatched.Set(is_unwatched ? 1 : 0);
    }
}

void packet_worker::exchange_probes(base::time_point now)
{
    for (const auto& request : steerer_.take_probe_requests())
    {
        if (!probes_.request_attempt(request))
        {
            log_event{log_level::warning, "probe_left_out"}.with("address", request.address.to_string());
        }
    }
    completed_probe completed;
    while (probes_.take_completed(completed))
    {
        const auto effects = steerer_.on_probe(completed.token, completed.result, now);
        metrics_.probes(completed.result).Increment();
        if (const auto* upstream = steerer_.registry().find(completed.token); upstream != nullptr)
        {
            log_.probe(*upstream, completed.result, effects.resets.size(), now);
        }
        process_outcome(effects, {}, now);
    }
}

void packet_worker::apply_remote_view(base::time_point now)
{
    const auto interval = steerer_.awaits_votes(now) ? awaited_view_interval : remote_view_interval;
    if (now - last_remote_view_ < interval)
    {
        return;
    }
    last_remote_view_ = now;
    steerer_.set_peer_count(peers_.exchange().live_count(now));
    const auto loads = peers_.exchange().remote_loads(now);
    const auto votes = peers_.exchange().votes(now);
    steerer_.registry().for_each(
        [&](const steer::upstream_incarnation& upstream)
        {
            const auto load = loads.find(upstream.token);
            const auto vote = votes.find(upstream.token);
            steer::steerer::remote_view seen;
            if (vote != votes.end())
            {
                seen.silence_votes = vote->second.silent;
                seen.unreachable_votes = vote->second.unreachable;
            }
            if (load != loads.end())
            {
                seen.flows = load->second.flows;
                seen.open_requests = load->second.open_requests;
                seen.answered_ago = load->second.answered_ago;
                seen.answer_times = load->second.answer_times;
            }
            steerer_.on_remote_view(upstream.token, seen, now);
        });
    process_outcome(steerer_.check_votes(now), {}, now);
}

void packet_worker::catch_up(base::time_point now)
{
    const auto newer = peers_.exchange().with_newer_configuration(steerer_.routes().version(), now);
    if (!newer)
    {
        configuration_behind_since_.reset();
    }
    else if (now >= next_configuration_read_)
    {
        configuration_behind_since_ = configuration_behind_since_.value_or(now);
        next_configuration_read_ = now + read_pause;
        state_.request_read(adapter::object_kind::configuration, *newer);
    }
    if (upstreams_position_.revision().epoch == 0)
    {
        // The first list was from an unknown time. Most often it is current, and a digest tells
        // that without a transfer of the whole state.
        const auto equal = peers_.exchange().upstreams_revision_of(steerer_.registry().digest(), now);
        upstreams_position_.on_equal_state(equal.value_or(steer::store_revision{}));
    }
    const auto ahead = peers_.exchange().with_newer_upstreams(upstreams_position_.revision(), now);
    if (!ahead)
    {
        behind_since_.reset();
        return;
    }
    if (!behind_since_)
    {
        behind_since_ = now;
    }
    if (now - *behind_since_ >= changes_grace)
    {
        behind_since_ = now;
        state_.request_read(adapter::object_kind::upstreams, *ahead);
    }
}

void packet_worker::report_behind(base::time_point now)
{
    const auto behind = configuration_behind_since_ ? now - *configuration_behind_since_ : base::duration{0};
    metrics_.configuration_behind.Set(std::chrono::duration<double>(behind).count());
    if (behind >= behind_alarm)
    {
        log_event{log_level::warning, "configuration_behind"}
            .with("version", steerer_.routes().version())
            .with("behind_ms", std::chrono::duration_cast<std::chrono::milliseconds>(behind).count());
    }
}

void packet_worker::report_slowed(base::time_point now)
{
    for (const auto token : steerer_.take_slowed())
    {
        if (const auto* upstream = steerer_.registry().find(token); upstream != nullptr)
        {
            log_.slowed(*upstream, now);
        }
    }
}

peers::host_status packet_worker::status(base::time_point now)
{
    peers::host_status own;
    own.follows_store = state_.follows.load() && state_.store_reachable();
    own.store_lost = peers_.exchange().is_turned_away();
    own.leaving = state_.draining.load();
    own.configuration_version = steerer_.routes().version();
    own.upstreams_revision = upstreams_position_.revision();
    own.upstreams_digest = steerer_.registry().digest();
    own.evacuations = known_evacuations();
    own.demands = steerer_.report_demands(now);
    steerer_.registry().for_each(
        [&](const steer::upstream_incarnation& upstream)
        {
            const auto answer_times =
                upstream.ended ? steer::answer_time_sum{} : steerer_.answer_times_of(upstream, now);
            if (upstream.flows > 0 || !answer_times.is_empty())
            {
                const auto answered_ago = now - upstream.last_progress;
                own.loads.push_back(
                    {.token = upstream.token,
                     .flows = upstream.flows,
                     .open_requests = upstream.open_requests,
                     .answered_ago = std::chrono::duration_cast<std::chrono::milliseconds>(answered_ago),
                     .answer_times = answer_times});
            }
            if (!upstream.ended && steerer_.is_avoided_locally(upstream, now))
            {
                own.silent.push_back(upstream.token);
            }
            if (!upstream.ended && steerer_.is_unreachable(upstream, now))
            {
                own.unreachable.push_back(upstream.token);
            }
        });
    return own;
}

void packet_worker::publish_snapshot()
{
    auto state = std::make_shared<peers::edge_state>();
    state->upstreams.revision = upstreams_position_.revision();
    state->evacuations = known_evacuations();
    state->starting = shared_upstreams(base::steady_now());
    state->limited_flows = limited_flows_;
    published_limited_flows_ = limited_flows_;
    state->relayed_syns = relayed_syns_;
    state->opened_for_others = opened_for_others_;
    steerer_.registry().for_each(
        [&](const steer::upstream_incarnation& upstream)
        {
            if (!upstream.ended && !upstream.missing_since)
            {
                state->upstreams.entries.push_back(upstream.entry);
            }
        });
    state_.publish(adapter::object_kind::configuration, configuration_);
    state_.publish(adapter::object_kind::upstreams, std::move(state));
    snapshot_due_ = false;
}

} // namespace galenabay::edge
