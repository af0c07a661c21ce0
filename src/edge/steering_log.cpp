#include "steering_log.hpp"

#include <galenabay/base/log.hpp>

#include <algorithm>
#include <cmath>
#include <string>

namespace galenabay::edge
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

std::string text_of(const steer::flow_key& flow)
{
    return base::endpoint::make_v4(flow.caller_address, flow.caller_port).to_string() + ">" +
           base::endpoint::make_v4(flow.service_address, flow.service_port).to_string();
}

/// Adds the time since `then`, unless that never happened.
void add_age(log_event& line, const char* key, base::time_point then, base::time_point now)
{
    if (then != base::time_point{})
    {
        line.with(key, std::chrono::duration_cast<milliseconds>(now - then).count());
    }
}

void write_suppressed(const char* kind, log_limiter& limiter)
{
    if (const auto count = limiter.take_suppressed(); count > 0)
    {
        log_event{log_level::info, "lines_left_out"}.with("kind", kind).with("count", count);
    }
}

} // namespace

void steering_log::packet(const steer::packet_header& header, const steer::steering_decision& decision,
                          std::uint64_t version, base::time_point now)
{
    if (decision.reason == steer::steering_reason::token ||
        !packets_[static_cast<std::size_t>(decision.reason)].allow(now))
    {
        return;
    }
    log_event line{log_level::info, "packet"};
    line.with("flow", text_of(header.flow)).with("outcome", name_of(decision.action));
    line.with("reason", name_of(decision.reason)).with("version", version);
    if (header.syn)
    {
        line.with("copy", header.acknowledged);
    }
    if (decision.action == steer::steering_action::forward)
    {
        line.with("upstream", decision.upstream_number).with("address", decision.upstream.to_string());
        line.with("token", decision.token);
    }
    else
    {
        line.with("token", header.token);
    }
}

void steering_log::upstream(const steer::upstream_registry::change& change, const steer::store_revision& revision,
                            base::time_point now)
{
    if (change.incarnation == nullptr || !upstreams_.allow(now))
    {
        return;
    }
    const auto& upstream = *change.incarnation;
    log_event{log_level::info, "upstream"}
        .with("id", upstream.entry.id)
        .with("change", name_of(change.kind))
        .with("service", upstream.entry.service)
        .with("draining", upstream.entry.draining ? "yes" : "no")
        .with("started_ms", upstream.entry.started_ms)
        .with("token", upstream.token)
        .with("flows", upstream.flows)
        .with("revision", revision.number)
        .with("epoch", revision.epoch);
}

void steering_log::probe(const steer::upstream_incarnation& upstream, steer::probe_result result, std::size_t resets,
                         base::time_point now)
{
    if (!probes_.allow(now))
    {
        return;
    }
    log_event line{log_level::info, "probe"};
    line.with("id", upstream.entry.id).with("token", upstream.token).with("result", name_of(result));
    add_age(line, "attempt_ms", upstream.probes.begun_at, now);
    line.with("votes", upstream.silence_votes);
    add_age(line, "answered_ms", upstream.last_progress, now);
    line.with("resets", resets);
}

void steering_log::reset(const steer::lost_flow& lost, base::time_point now)
{
    if (resets_.allow(now))
    {
        log_event{log_level::info, "flow_reset"}
            .with("flow", text_of(lost.reset.flow))
            .with("reason", name_of(lost.reason))
            .with("token", lost.token);
    }
}

void steering_log::silence(const steer::upstream_incarnation& upstream, const std::vector<steer::lost_flow>& resets,
                           base::time_point now)
{
    if (!silences_.allow(now))
    {
        return;
    }
    base::duration longest_wait{0};
    for (const auto& lost : resets)
    {
        longest_wait = std::max(longest_wait, lost.waited);
    }
    log_event line{log_level::info, "upstream_silent"};
    line.with("id", upstream.entry.id).with("token", upstream.token).with("resets", resets.size());
    line.with("waited_ms", std::chrono::duration_cast<milliseconds>(longest_wait).count());
    line.with("retransmissions", upstream.retransmissions);
    add_age(line, "answered_ms", upstream.last_progress, now);
    add_age(line, "answered_others_ms", upstream.remote_progress, now);
    add_age(line, "connected_ms", upstream.probes.reached_at, now);
    add_age(line, "not_connected_ms", upstream.probes.failed_at, now);
    line.with("votes", upstream.silence_votes).with("unreachable_votes", upstream.unreachable_votes);
}

void steering_log::slowed(const steer::upstream_incarnation& upstream, base::time_point now)
{
    if (!slowed_.allow(now))
    {
        return;
    }
    const auto in_ms = [](base::duration time) { return std::chrono::duration_cast<milliseconds>(time).count(); };
    const auto own = upstream.answer_times.recent(now);
    const auto& fleet = upstream.fleet_answer_times;
    log_event line{log_level::info, "upstream_slowed"};
    line.with("id", upstream.entry.id).with("token", upstream.token);
    line.with("relative_time", upstream.relative_answer_time);
    line.with("fleet_ms", in_ms(fleet.typical())).with("fleet_samples", std::llround(fleet.samples()));
    line.with("own_ms", in_ms(own.typical())).with("own_samples", std::llround(own.samples()));
    if (const auto ratio = upstream.answer_times.load_ratio(); ratio)
    {
        line.with("load_ratio", *ratio);
    }
}

void steering_log::avoidance(const steer::avoidance_change& change, base::time_point now)
{
    if (!avoidance_.allow(now))
    {
        return;
    }
    log_event line{change.ignored ? log_level::warning : log_level::info,
                   change.ignored ? "weak_evidence_ignored" : "weak_evidence_used"};
    line.with("service", change.service).with("upstreams", change.counts.upstreams);
    line.with("doubted", change.counts.doubted).with("failed", change.counts.failed);
    if (!change.ignored)
    {
        line.with("ignored_ms", std::chrono::duration_cast<milliseconds>(change.lasted).count());
    }
}

void steering_log::refused(const adapter::store_object& object, const steer::store_revision& revision,
                           base::time_point now)
{
    if (refused_.allow(now))
    {
        log_event line{log_level::warning, "object_refused"};
        line.with("id", object.name).with("field", object.fault);
        if (!object.fault_detail.empty())
        {
            line.with("detail", object.fault_detail);
        }
        line.with("revision", revision.number).with("epoch", revision.epoch);
    }
}

void steering_log::unusable(const peers::upstream_changes& changes, base::time_point now)
{
    if (changes.unusable > 0 && refused_.allow(now))
    {
        log_event{log_level::warning, "peer_entries_refused"}
            .with("count", changes.unusable)
            .with("data_centre", changes.data_centre)
            .with("revision", changes.revision.number)
            .with("epoch", changes.revision.epoch);
    }
}

void steering_log::summarize()
{
    for (std::size_t i = 0; i < packets_.size(); ++i)
    {
        write_suppressed(name_of(static_cast<steer::steering_reason>(i)), packets_[i]);
    }
    write_suppressed("upstream", upstreams_);
    write_suppressed("flow_reset", resets_);
    write_suppressed("upstream_silent", silences_);
    write_suppressed("probe", probes_);
    write_suppressed("upstream_slowed", slowed_);
    write_suppressed("weak_evidence", avoidance_);
    write_suppressed("object_refused", refused_);
}

} // namespace galenabay::edge
