#pragma once

#include <galenabay/steer/upstream_registry.hpp>

#include <algorithm>
#include <cmath>

namespace galenabay::steer
{

/// Records that a flow showed an answer from the upstream.
inline void record_progress(upstream_incarnation& upstream, base::time_point now)
{
    upstream.last_progress = now;
    upstream.retransmissions = 0;
    upstream.unanswered_syns = 0;
    upstream.silent_until = {};
    upstream.avoid_until = {};
    upstream.voted_until = {};
}

/// Marks the upstream as silent by this host's own evidence, so that new flows avoid it
/// for `avoid_time`.
inline void mark_silent(upstream_incarnation& upstream, base::time_point now, base::duration avoid_time)
{
    upstream.silent_until = now + avoid_time;
    upstream.avoid_until = upstream.silent_until;
}

/// Retransmissions of callers from which on an upstream may be silent.
constexpr std::uint32_t required_retransmissions = 2;

/// Records that a caller retransmitted a packet that it had first sent at `sent_at`. Marks the
/// upstream as silent from the second retransmission on when it has not answered for
/// `silence_limit`, of which the caller has waited all the time: an upstream that nobody
/// asked does not answer either.
inline void record_retransmission(upstream_incarnation& upstream, base::time_point sent_at, base::time_point now,
                                  base::duration silence_limit, base::duration avoid_time)
{
    ++upstream.retransmissions;
    const auto silent_since = std::max(upstream.last_progress, sent_at);
    if (upstream.retransmissions >= required_retransmissions && now - silent_since >= silence_limit)
    {
        mark_silent(upstream, now, avoid_time);
    }
}

/// Returns true when the upstream may have failed. An upstream that was idle before and takes
/// longer than a retransmission timeout to answer meets this, too, so that it is a reason for
/// an attempt to connect and for nothing else.
inline bool is_suspected(const upstream_incarnation& upstream, base::time_point now, base::duration silence_limit)
{
    return upstream.retransmissions >= required_retransmissions && now - upstream.last_progress >= silence_limit;
}

/// Returns true while any evidence, of this host or of others, speaks against the upstream.
inline bool is_doubted(const upstream_incarnation& upstream, base::time_point now)
{
    return now < std::max(upstream.avoid_until, upstream.voted_until);
}

/// Returns true while new flows avoid the upstream.
inline bool is_avoided(const upstream_incarnation& upstream, base::time_point now)
{
    return is_doubted(upstream, now) && (!upstream.doubts_ignored || now < upstream.silent_until);
}

/// Unanswered SYNs of this host without an answer in between that show, without the votes of other hosts, that the
/// upstream may not answer.
constexpr std::uint32_t required_unanswered_syns = 2;

/// Records that a SYN got no answer although the upstream had time for it. A stopped
/// upstream refuses new flows at once, which the caller sees but this host does not.
/// Returns true when new flows begin to avoid the upstream. `has_votes`: other hosts find it silent, too.
///
/// An upstream that was reached within `probe_pause` runs, and may have had no room: it is avoided no longer than until
/// the next attempt to connect.
inline bool record_unanswered_syn(upstream_incarnation& upstream, bool has_votes, base::time_point now,
                                  base::duration avoid_time)
{
    upstream.unanswered_since = upstream.unanswered_syns == 0 ? now : upstream.unanswered_since;
    ++upstream.unanswered_syns;
    const bool is_enough = upstream.unanswered_syns >= required_unanswered_syns || has_votes;
    const bool was_doubted = is_doubted(upstream, now);
    if (is_enough)
    {
        const auto next_probe = upstream.probes.not_before;
        upstream.avoid_until = std::max(upstream.silent_until, now < next_probe ? next_probe : now + avoid_time);
    }
    return is_enough && !was_doubted;
}

/// Returns true when the upstream has answered through any host since the first attempt of the
/// series to connect to it began.
inline bool has_answered_probes(const upstream_incarnation& upstream)
{
    return std::max(upstream.last_progress, upstream.remote_progress) >= upstream.probes.begun_at;
}

/// Returns true while the upstream is slow after its start, or may be because its data centre
/// has returned from an evacuation.
inline bool is_starting(const upstream_incarnation& upstream, base::time_point now)
{
    return now < std::max(upstream.warm_at, upstream.cold_until);
}

/// Records the sums of the other hosts' loads. Sums are up to a second late, while a request takes
/// some 20 ms: all hosts would follow the latest one in step, so that load swings between
/// upstreams. The mean changes more slowly than the sums are late.
inline void record_remote_load(upstream_incarnation& upstream, std::uint32_t flows, std::uint32_t requests,
                               base::time_point now)
{
    constexpr std::chrono::duration<double> mean_time{1.75};
    const std::chrono::duration<double> age = now - upstream.remote_seen_at;
    upstream.remote_flows = flows;
    upstream.remote_requests = requests;
    upstream.mean_remote_requests += (1 - std::exp(-age / mean_time)) * (requests - upstream.mean_remote_requests);
    upstream.remote_seen_at = now;
}

} // namespace galenabay::steer
