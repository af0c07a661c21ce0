#include "packet_worker.hpp"

#include <galenabay/base/log.hpp>
#include <galenabay/base/steady_clock.hpp>

#include <algorithm>
#include <utility>

namespace galenabay::edge
{

namespace
{

using base::log_event;
using base::log_level;

/// Attempts to apply an update that ends with an exception. Packets wait meanwhile, so that
/// there are few; a shortage of memory may have passed at the next one.
constexpr int max_apply_attempts = 3;

} // namespace

void packet_worker::apply_queued(update_ring& ring)
{
    const auto apply_first = [this](const std::shared_ptr<const store_update>& update)
    {
        if (apply_attempts_++ < max_apply_attempts)
        {
            apply(*update);
        }
        else
        {
            log_event{log_level::error, "update_given_up"}.with("kind", adapter::name_of(update->objects_of));
            state_.request_list(update->objects_of);
        }
        apply_attempts_ = 0;
    };
    while (ring.use_first(apply_first))
    {
    }
}

void packet_worker::apply(const store_update& update)
{
    if (update.what == store_update::kind::failure)
    {
        steerer_.on_store_failure(base::steady_now());
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
            log_.refused(object, update.revision, base::steady_now());
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
    case adapter::object_kind::evacuations:
        apply_evacuations(update);
        break;
    case adapter::object_kind::warm_ups:
        // Their lists are read by the `warm_up_worker`, which has a ring of its own.
        break;
    }
    update_list_wait(base::steady_now());
    snapshot_due_ = true;
    metrics_.adoption_time.Observe(seconds_between(update.received_at, base::steady_now()));
    mark_ready();
}

void packet_worker::update_list_wait(base::time_point now)
{
    // A list of unknown epoch is stale, or comes from a host that has a stale one only.
    const bool is_current = upstreams_position_.revision().epoch != 0;
    is_current ? steerer_.on_current_list() : steerer_.await_current_list(now);
    const bool awaits = steerer_.awaits_current_list();
    if (awaits == std::exchange(awaits_list_, awaits))
    {
        return;
    }
    state_.request_current_list(awaits);
    if (!awaits)
    {
        log_event{is_current ? log_level::info : log_level::warning,
                  is_current ? "upstreams_current" : "upstreams_maybe_outdated"}
            .with("revision", upstreams_position_.revision().number)
            .with("epoch", upstreams_position_.revision().epoch);
    }
}

void packet_worker::mark_ready()
{
    if (steerer_.is_ready() && !state_.ready.exchange(true))
    {
        log_event{log_level::info, "ready"}.with("version", steerer_.routes().version());
        metrics_.ready.Set(1);
    }
}

void packet_worker::apply_hosts(const store_update& update)
{
    for (const auto& object : update.objects)
    {
        if (object.host)
        {
            peers_.exchange().on_listed(
                {.name = object.name, .address = *object.host, .data_centre = object.host_data_centre},
                base::steady_now());
        }
    }
}

void packet_worker::apply_peer_state(const store_update& update)
{
    if (update.state->configuration.version != 0)
    {
        adopt(update.state->configuration, update.revision);
    }
    if (update.state->evacuations)
    {
        adopt(*update.state->evacuations, "peer_state");
    }
    const auto& upstreams = update.state->upstreams;
    if (update.objects_of == adapter::object_kind::upstreams && upstreams_position_.on_state(upstreams))
    {
        const auto now = base::steady_now();
        report_unusable(upstreams, now);
        process_outcome(steerer_.on_upstream_list(upstreams.entries, upstreams.revision, now), upstreams.revision, now);
    }
    if (update.is_large_state)
    {
        // Hosts that wait for the state can get it from this one, too.
        send_urgent_status(base::steady_now());
    }
}

void packet_worker::adopt(const steer::configuration& next, const steer::store_revision& revision)
{
    const auto before = steerer_.routes().version();
    // Made first: after an exception, which it may end with, the update is applied again, and would find the version in
    // force.
    auto served = std::make_shared<const peers::edge_state>(peers::edge_state{.configuration = next, .upstreams = {}});
    const bool adopted = steerer_.on_configuration(next);
    if (adopted)
    {
        configuration_ = std::move(served);
        if (steerer_.is_ready())
        {
            // Others ask for it as soon as the urgent status tells them of the version.
            state_.publish(adapter::object_kind::configuration, configuration_);
        }
    }
    log_event{log_level::info, adopted ? "configuration_adopted" : "configuration_ignored"}
        .with("version", next.version)
        .with("before", before)
        .with("routes", next.routes.size())
        .with("revision", revision.number)
        .with("epoch", revision.epoch);
    metrics_.version.Set(static_cast<double>(steerer_.routes().version()));
}

void packet_worker::apply_evacuations(const store_update& update)
{
    if (update.what != store_update::kind::list)
    {
        return;
    }
    steer::evacuation_set listed{.revision = update.revision, .evacuations = {}};
    for (const auto& object : update.objects)
    {
        if (object.is_evacuation)
        {
            listed.evacuations.push_back({.data_centre = object.name, .revision_number = object.revision.number});
        }
    }
    adopt(listed, "store");
}

void packet_worker::adopt(const steer::evacuation_set& next, const char* source)
{
    const auto now = base::steady_now();
    if (!has_evacuations_ || !steerer_.on_evacuations(next, now))
    {
        return;
    }
    report_evacuations(source);
    snapshot_due_ = true;
    mark_ready();
    if (state_.follows.load())
    {
        send_urgent_status(now);
    }
}

std::optional<steer::evacuation_set> packet_worker::known_evacuations() const
{
    const auto& evacuations = steerer_.evacuations();
    return has_evacuations_ && evacuations.is_known() ? std::optional{evacuations.latest()} : std::nullopt;
}

void packet_worker::report_evacuations(const char* source)
{
    const auto& evacuations = steerer_.evacuations();
    const auto& revision = evacuations.latest().revision;
    metrics_.evacuations_revision.Set(static_cast<double>(revision.number));
    if (evacuations.change_count() == std::exchange(reported_evacuation_changes_, evacuations.change_count()))
    {
        return;
    }
    metrics_.evacuated_data_centres.Set(static_cast<double>(evacuations.in_force().size()));
    std::string names;
    for (const auto& data_centre : evacuations.in_force())
    {
        names += (names.empty() ? "" : ",") + data_centre;
        std::size_t upstreams = 0;
        steerer_.registry().for_each([&](const steer::upstream_incarnation& upstream)
                                     { upstreams += upstream.entry.data_centre == data_centre ? 1 : 0; });
        if (upstreams == 0 && steerer_.registry().size() > 0)
        {
            log_event{log_level::warning, "evacuation_unknown"}.with("evacuated", data_centre);
        }
    }
    log_event{log_level::info, "evacuation_adopted"}
        .with("evacuated", names)
        .with("source", source)
        .with("revision", revision.number)
        .with("epoch", revision.epoch);
}

void packet_worker::apply_configuration(const store_update& update)
{
    for (const auto& object : update.objects)
    {
        if (object.configuration)
        {
            adopt(*object.configuration, update.revision);
            send_urgent_status(base::steady_now());
        }
    }
}

void packet_worker::apply_upstreams(const store_update& update)
{
    const auto now = base::steady_now();
    const auto previous_revision = upstreams_position_.revision();
    for (const auto& object : update.objects)
    {
        upstreams_position_.on_change(object.revision);
    }
    if (update.what == store_update::kind::list)
    {
        upstreams_position_.on_list(update.revision.epoch);
        std::vector<steer::upstream_entry> entries;
        for (const auto& object : update.objects)
        {
            if (object.upstream)
            {
                entries.push_back(*object.upstream);
            }
        }
        process_outcome(steerer_.on_upstream_list(entries, update.revision, now), update.revision, now);
        if (state_.follows.load() && previous_revision < upstreams_position_.revision())
        {
            // A list does not say which of its entries are new to the others: they read the state of this host.
            send_urgent_status(now);
        }
        return;
    }
    for (const auto& object : update.objects)
    {
        // An entry that cannot be used is treated as a removed one.
        process_outcome(object.upstream ? steerer_.on_upstream(*object.upstream, now)
                                        : steerer_.on_upstream_removed(object.name, object.revision, now),
                        update.revision, now);
    }
    if (update.what == store_update::kind::changes && state_.follows.load())
    {
        send_changes(update, previous_revision);
    }
}

void packet_worker::report_collisions()
{
    for (const auto& [id, other_id, token] : steerer_.registry().take_collisions())
    {
        log_event{log_level::error, "upstream_token_in_use"}
            .with("id", id)
            .with("other", other_id)
            .with("token", token);
    }
    metrics_.colliding_upstreams.Set(static_cast<double>(steerer_.registry().collision_count()));
}

void packet_worker::send_changes(const store_update& update, const steer::store_revision& previous_revision)
{
    peers::upstream_changes changes{.previous_revision = previous_revision,
                                    .revision = upstreams_position_.revision(),
                                    .entries = {},
                                    .removed = {},
                                    .data_centre = {}};
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
    peers_.send(peers_.exchange().on_changes(changes, base::steady_now()));
}

void packet_worker::report_unusable(const peers::upstream_changes& changes, base::time_point now)
{
    metrics_.refused_objects.Increment(static_cast<double>(changes.unusable));
    log_.unusable(changes, now);
}

void packet_worker::apply_changes(const peers::upstream_changes& changes)
{
    const auto now = base::steady_now();
    report_unusable(changes, now);
    for (const auto& entry : changes.entries)
    {
        process_outcome(steerer_.on_upstream(entry, now), entry.revision, now);
    }
    for (const auto& removed : changes.removed)
    {
        process_outcome(steerer_.on_upstream_removed(removed.id, removed.revision, now), removed.revision, now);
    }
    upstreams_position_.on_changes(changes);
    snapshot_due_ = true;
}

} // namespace galenabay::edge
