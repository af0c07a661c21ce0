#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/steer/data_centre_evidence.hpp>
#include <galenabay/steer/restart_history.hpp>
#include <galenabay/steer/upstream_registry.hpp>
#include <galenabay/steer/warm_up_claims.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace galenabay::steer
{

/// Times and limits of steering.
struct steering_options
{
    /// This host's data centre; its upstreams are preferred.
    std::string data_centre;
    upstream_registry::limits registry{};
    /// Capacity of the flow table: one host's share of 53 million flows on 3,900 hosts,
    /// and half as much again.
    std::size_t max_flows = 20'000;
    /// Time without an answer in any flow after which an upstream is avoided: longer than
    /// a caller's first retransmission timeout (200 ms) and a slow request.
    base::duration silence_limit = std::chrono::milliseconds{500};
    /// Time within which an upstream answers a SYN: many round trips, and the tenth of a
    /// second for which a process with a CPU quota may not run.
    base::duration syn_answer_limit = std::chrono::milliseconds{100};
    /// Time for which new flows avoid a silent upstream; new evidence extends it.
    base::duration avoid_time = std::chrono::milliseconds{2'500};
    /// Number of other hosts that could not connect to an upstream with which a single timeout
    /// of this host is enough: the link of one host may fail, those of three at once hardly do.
    std::size_t confirming_votes = 2;
    /// Gap between two ticks that shows that this process did not run: packets that
    /// were queued meanwhile are no evidence about upstreams.
    base::duration pause_limit = std::chrono::milliseconds{350};
    /// Attempts to connect that must time out before flows are reset; a single one is
    /// enough when `confirming_votes` other hosts could not connect to the upstream.
    std::uint32_t unreachable_limit = 2;
    /// Pause after an upstream has accepted a connection until the next attempt, so that a
    /// slow upstream gets few of them.
    base::duration probe_pause = std::chrono::milliseconds{1'000};
    /// Time after which a series without a result counts as lost: many times the timeout
    /// of an attempt.
    base::duration probe_lifetime = std::chrono::milliseconds{2'000};
    /// Time for which a timeout waits for the votes of other hosts, whose attempts began by then.
    /// A longer one would join failures of different times: the upstream may have accepted
    /// connections in between.
    base::duration confirmation_time = std::chrono::milliseconds{400};
    /// Time for which the silence that other hosts report counts: two status intervals.
    base::duration vote_time = std::chrono::milliseconds{1'000};
    /// Time within which an evacuation must be in force; empty when data centres are not
    /// evacuated. With it, a host is ready only when it knows the evacuations.
    std::optional<base::duration> evacuation_bound{};
    /// Limits of the evidence that a link to another data centre has failed.
    data_centre_evidence::options links{};
    /// As in `admission`: what to add to the time so that hosts agree on the turns of callers.
    base::duration clock_offset{0};
    /// Times of the history of restarts and of the ownership of starting upstreams.
    restart_history::options restarts{};
    warm_up_claims::options warm_ups{};
    /// Time for which a closed flow is kept, for retransmissions of its last packets, and one whose
    /// SYN was not answered.
    base::duration closed_flow_retention = std::chrono::seconds{2};
    /// Longest wait for a current list of the upstreams after the first one: some calls to the store and, without it,
    /// two statuses of other hosts. A service must not stay without upstreams for longer while the store is down.
    base::duration current_list_wait = std::chrono::milliseconds{1'000};
    /// The load of an upstream is corrected by its answer time relative to the other upstreams of
    /// its service.
    bool learned_capacity = true;
};

} // namespace galenabay::steer
