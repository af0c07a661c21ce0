#include "packet_duty.hpp"

#include <galenabay/base/log.hpp>
#include <platform/packet_head.hpp>

#include <poll.h>

#include <algorithm>
#include <utility>

namespace galenabay::edge
{

namespace
{

using base::log_event;
using base::log_level;

/// How often left-out lines and gauges are written.
constexpr base::duration summary_interval = std::chrono::seconds{5};

/// How long after its start a host leaves packets in the socket until it knows where
/// they go; older ones have been sent again.
constexpr base::duration start_hold = std::chrono::milliseconds{1'000};
/// How often the others' load and votes are summed up.
constexpr base::duration remote_view_interval = std::chrono::milliseconds{200};
/// Shortest time between two statuses that are sent because an upstream fell silent.
constexpr base::duration urgent_interval = std::chrono::milliseconds{300};
/// How long changes that a watcher has may be on their way to this host.
constexpr base::duration changes_grace = std::chrono::milliseconds{300};

double seconds_between(base::time_point from, base::time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

packet_duty::packet_duty(net::udp_socket socket, net::udp_socket peers, identity self, std::uint64_t seed,
                         shared_state& state, edge_metrics& metrics)
    : socket_{std::move(socket)}, state_{state}, metrics_{metrics}, steerer_{{.data_centre = self.data_centre}, seed},
      self_{std::move(self)}, random_{base::mix(seed, 1)}, peers_{std::move(peers),
                                                                  peers::peer_view{self_.name, self_.data_centre},
                                                                  metrics},
      buffers_(net::batch_size)
{
}

packet_duty::~packet_duty()
{
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void packet_duty::start()
{
    thread_ = std::thread{[this] { run(); }};
}

bool packet_duty::is_holding(base::time_point now) const
{
    return !steerer_.is_ready() && now < hold_until_;
}

void packet_duty::run()
{
    hold_until_ = steady_now() + start_hold;
    while (!state_.stopping())
    {
        wait();
        for (auto& ring : updates_)
        {
            drain(ring);
        }
        if (!is_holding(steady_now()))
        {
            receive(steady_now());
        }
        exchange_with_peers(steady_now());
        if (const auto now = steady_now(); now >= next_tick_)
        {
            tick(now);
        }
    }
}

void packet_duty::wait()
{
    waker_.prepare();
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(next_tick_ - steady_now());
    const bool has_updates =
        std::any_of(updates_.begin(), updates_.end(), [](const update_ring& ring) { return ring.size() > 0; });
    const auto timeout = has_updates ? 0 : std::max<std::int64_t>(left.count(), 0);
    const short awaited = is_holding(steady_now()) ? 0 : POLLIN;
    std::array<pollfd, 3> entries{pollfd{socket_.descriptor(), awaited, 0}, pollfd{waker_.descriptor(), POLLIN, 0},
                                  pollfd{peers_.descriptor(), POLLIN, 0}};
    if (poll(entries.data(), entries.size(), static_cast<int>(timeout)) > 0 && entries[1].revents != 0)
    {
        waker_.clear();
    }
    waker_.cancel();
}

void packet_duty::receive(base::time_point now)
{
    std::array<net::packet*, net::batch_size> batch{};
    std::transform(buffers_.begin(), buffers_.end(), batch.begin(), [](net::packet& buffer) { return &buffer; });
    const auto got = net::receive_batch(socket_.descriptor(), batch);
    if (got.received == 0)
    {
        return;
    }
    state_.last_packet_us.store(now.time_since_epoch().count());
    const auto end = std::partition(batch.begin(), batch.begin() + static_cast<std::ptrdiff_t>(got.received),
                                    [&](net::packet* datagram) { return decide(*datagram, now); });
    send({batch.begin(), end});
    metrics_.handling_time.Observe(seconds_between(now, steady_now()));
}

bool packet_duty::decide(net::packet& datagram, base::time_point now)
{
    const auto head = adapter::decode_head(datagram.payload());
    if (!head)
    {
        metrics_.malformed_packets.Increment();
        return false;
    }
    const auto decision = steerer_.on_packet(*head, now);
    metrics_.decisions(decision.reason).Increment();
    log_.packet(*head, decision, steerer_.routes().version(), now);
    switch (decision.action)
    {
    case steer::steering_action::drop:
        return false;
    case steer::steering_action::reset:
        metrics_.resets.Increment();
        datagram.peer = base::endpoint::make_v4(head->flow.caller_address, socket_.local().port());
        return datagram.assign(adapter::encode_reset(decision.reset));
    case steer::steering_action::forward:
        break;
    }
    adapter::write_token(datagram.mutable_payload(), decision.token);
    datagram.peer = decision.upstream;
    return datagram.prepend(adapter::encode_upstream_number(decision.upstream_number));
}

void packet_duty::send(std::span<net::packet* const> datagrams)
{
    while (!datagrams.empty())
    {
        const auto sent = net::send_batch(socket_.descriptor(), datagrams);
        if (sent == 0)
        {
            // Callers send again what gets lost here; waiting would delay the others.
            metrics_.send_failures.Increment();
            datagrams = datagrams.subspan(1);
        }
        datagrams = datagrams.subspan(sent);
    }
}

void packet_duty::drain(update_ring& ring)
{
    std::shared_ptr<const store_update> update;
    while (ring.pop(update))
    {
        apply(*update);
    }
}

void packet_duty::apply(const store_update& update)
{
    if (update.what == store_update::kind::failure)
    {
        steerer_.on_store_failure(steady_now());
        return;
    }
    if (update.what == store_update::kind::peer_state)
    {
        apply_peer_state(update);
    }
    for (const auto& object : update.objects)
    {
        if (!object.fault.empty())
        {
            metrics_.refused_objects.Increment();
            log_.refused(object, update.revision, steady_now());
        }
    }
    switch (update.objects_of)
    {
    case adapter::object_kind::configuration:
        apply_configuration(update);
        break;
    case adapter::object_kind::upstreams:
        apply_upstreams(update);
        break;
    case adapter::object_kind::hosts:
        apply_hosts(update);
        break;
    }
    snapshot_due_ = true;
    metrics_.adoption_time.Observe(seconds_between(update.at, steady_now()));
    note_ready();
}

void packet_duty::note_ready()
{
    if (steerer_.is_ready() && !state_.ready.exchange(true))
    {
        log_event{log_level::info, "ready"}.with("version", steerer_.routes().version());
        metrics_.ready.Set(1);
    }
}

void packet_duty::apply_hosts(const store_update& update)
{
    for (const auto& object : update.objects)
    {
        if (object.host)
        {
            peers_.on_listed(object.name, *object.host, steady_now());
        }
    }
}

void packet_duty::apply_peer_state(const store_update& update)
{
    if (update.state->configuration.version != 0)
    {
        adopt(update.state->configuration, update.revision);
    }
    const auto& upstreams = update.state->upstreams;
    if (upstreams.revision > upstreams_revision_)
    {
        const auto now = steady_now();
        follow_up(steerer_.on_upstream_list(upstreams.entries, upstreams.revision, now), upstreams.revision, now);
        upstreams_revision_ = upstreams.revision;
    }
}

void packet_duty::adopt(const steer::configuration& next, std::uint64_t revision)
{
    const auto before = steerer_.routes().version();
    const bool adopted = steerer_.on_configuration(next);
    if (adopted)
    {
        configuration_ = next;
    }
    log_event{log_level::info, adopted ? "configuration_adopted" : "configuration_ignored"}
        .with("version", next.version)
        .with("before", before)
        .with("routes", next.routes.size())
        .with("revision", revision);
    metrics_.version.Set(static_cast<double>(steerer_.routes().version()));
}

void packet_duty::apply_configuration(const store_update& update)
{
    for (const auto& object : update.objects)
    {
        if (object.configuration)
        {
            adopt(*object.configuration, update.revision);
            peers_.send_status(status(steady_now()), true, steady_now());
        }
    }
}

void packet_duty::apply_upstreams(const store_update& update)
{
    const auto now = steady_now();
    const auto previous_revision = upstreams_revision_;
    for (const auto& object : update.objects)
    {
        upstreams_revision_ = std::max(upstreams_revision_, object.revision);
    }
    if (update.what == store_update::kind::list)
    {
        std::vector<steer::upstream_entry> entries;
        for (const auto& object : update.objects)
        {
            if (object.upstream)
            {
                entries.push_back(*object.upstream);
            }
        }
        follow_up(steerer_.on_upstream_list(entries, update.revision, now), update.revision, now);
        return;
    }
    for (const auto& object : update.objects)
    {
        // An entry that can't be used names no upstream, as one that was removed.
        follow_up(object.upstream ? steerer_.on_upstream(*object.upstream, now)
                                  : steerer_.on_upstream_removed(object.name, object.revision, now),
                  update.revision, now);
    }
    if (update.what == store_update::kind::changes && state_.follows.load())
    {
        spread(update, previous_revision);
    }
}

void packet_duty::spread(const store_update& update, std::uint64_t previous_revision)
{
    peers::upstream_changes changes{
        .previous_revision = previous_revision, .revision = upstreams_revision_, .entries = {}, .removed = {}};
    for (const auto& object : update.objects)
    {
        if (object.upstream)
        {
            changes.entries.push_back(*object.upstream);
        }
        else
        {
            changes.removed.push_back({.id = object.name, .revision = object.revision});
        }
    }
    peers_.send_changes(changes);
}

void packet_duty::apply_changes(const peers::upstream_changes& changes)
{
    const auto now = steady_now();
    for (const auto& entry : changes.entries)
    {
        follow_up(steerer_.on_upstream(entry, now), entry.revision, now);
    }
    for (const auto& removed : changes.removed)
    {
        follow_up(steerer_.on_upstream_removed(removed.id, removed.revision, now), removed.revision, now);
    }
    // After a gap the revision stays behind, so that the store is read.
    if (changes.previous_revision <= upstreams_revision_)
    {
        upstreams_revision_ = std::max(upstreams_revision_, changes.revision);
    }
    snapshot_due_ = true;
}

void packet_duty::exchange_with_peers(base::time_point now)
{
    const bool any_status =
        peers_.receive(now, [this](const peers::upstream_changes& changes) { apply_changes(changes); });
    if (any_status)
    {
        catch_up(now);
        use_remote_view(now);
    }
    if (steerer_.silence_count() != silences_told_ && now >= next_urgent_)
    {
        silences_told_ = steerer_.silence_count();
        next_urgent_ = now + urgent_interval;
        peers_.send_status(status(now), true, now);
    }
    if (!peers_.is_status_due(now))
    {
        return;
    }
    const bool follows = peers_.view().should_follow(now);
    if (follows != state_.follows.exchange(follows))
    {
        log_event{log_level::info, follows ? "follow_begun" : "follow_ended"}.with("peers",
                                                                                   peers_.view().live_count(now));
        metrics_.follows_store.Set(follows ? 1 : 0);
        state_.wake();
    }
    peers_.send_status(status(now), false, now);
}

void packet_duty::use_remote_view(base::time_point now)
{
    if (now < next_remote_view_)
    {
        return;
    }
    next_remote_view_ = now + remote_view_interval;
    steerer_.set_peer_count(peers_.view().live_count(now));
    const auto loads = peers_.view().total_loads(now);
    const auto votes = peers_.view().silence_votes(now);
    steerer_.registry().for_each(
        [&](const steer::upstream_incarnation& upstream)
        {
            const auto load = loads.find(upstream.token);
            const auto vote = votes.find(upstream.token);
            const auto sum = load == loads.end() ? peers::upstream_load{} : load->second;
            steerer_.on_remote_view(upstream.token, sum.flows, sum.open_requests,
                                    vote == votes.end() ? 0 : vote->second, now);
        });
}

void packet_duty::catch_up(base::time_point now)
{
    const auto newer = peers_.view().with_newer_configuration(steerer_.routes().version(), random_, now);
    if (newer)
    {
        state_.request_read(adapter::object_kind::configuration, *newer);
    }
    const auto ahead = peers_.view().with_newer_upstreams(upstreams_revision_, random_, now);
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

peers::host_status packet_duty::status(base::time_point now)
{
    peers::host_status own{.name = self_.name,
                           .started_us = self_.started_us,
                           .data_centre = self_.data_centre,
                           .follows_store = state_.follows.load() && state_.store_answers(),
                           .leaving = state_.draining.load(),
                           .configuration_version = steerer_.routes().version(),
                           .upstreams_revision = upstreams_revision_,
                           .loads = {},
                           .silent = {}};
    steerer_.registry().for_each(
        [&](const steer::upstream_incarnation& upstream)
        {
            if (upstream.flows > 0)
            {
                own.loads.push_back(
                    {.token = upstream.token, .flows = upstream.flows, .open_requests = upstream.open_requests});
            }
            if (!upstream.ended && steerer_.is_avoided_here(upstream, now))
            {
                own.silent.push_back(upstream.token);
            }
        });
    return own;
}

void packet_duty::publish_snapshot()
{
    auto state = std::make_shared<peers::edge_state>();
    state->configuration = configuration_;
    state->upstreams.revision = upstreams_revision_;
    steerer_.registry().for_each(
        [&](const steer::upstream_incarnation& upstream)
        {
            if (!upstream.ended && !upstream.missing_since)
            {
                state->upstreams.entries.push_back(upstream.entry);
            }
        });
    state_.publish(std::move(state));
    snapshot_due_ = false;
}

void packet_duty::follow_up(const steer::steerer::outcome& learned, std::uint64_t revision, base::time_point now)
{
    for (const auto& change : learned.changes)
    {
        log_.upstream(change, revision, now);
    }
    send_resets(learned.resets, now);
}

void packet_duty::send_resets(const std::vector<steer::flow_reset>& resets, base::time_point now)
{
    for (const auto& reset : resets)
    {
        metrics_.resets.Increment();
        log_.reset(reset, now);
        auto& datagram = buffers_.front();
        datagram.peer = base::endpoint::make_v4(reset.flow.caller_address, socket_.local().port());
        if (datagram.assign(adapter::encode_reset(reset)))
        {
            const std::array<net::packet*, 1> single{&datagram};
            send(single);
        }
    }
}

void packet_duty::tick(base::time_point now)
{
    next_tick_ = now + steer::steerer::tick_interval;
    follow_up(steerer_.on_tick(now), 0, now);
    if (snapshot_due_ && steerer_.is_ready())
    {
        publish_snapshot();
    }
    if (now < next_summary_)
    {
        return;
    }
    next_summary_ = now + summary_interval;
    log_.summarize();
    metrics_.upstreams.Set(static_cast<double>(steerer_.registry().size()));
    metrics_.peers.Set(static_cast<double>(peers_.view().live_count(now)));
    metrics_.flows.Set(static_cast<double>(steerer_.flow_count()));
}

} // namespace galenabay::edge
