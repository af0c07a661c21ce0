#pragma once

#include <galenabay/base/random.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/config/service_set.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace galenabay::dispatch
{

/// How a request at an upstream ended.
enum class run_outcome
{
    succeeded,
    /// Answered with a server error.
    failed,
    /// Answered with 5.03: the request did not run.
    refused,
    /// Given up by this host, although the upstream has answered others since.
    cancelled,
    /// Given up by this host; the upstream has answered nothing since.
    unanswered,
};

/// The upstreams of a shard; selects the one that takes the next request.
///
/// Counts the slots that this host has filled. A new upstream starts with a
/// concurrency limit of one slot, raised by each answer and halved by each
/// refusal. One that refuses, fails or doesn't answer gets no requests during a
/// backoff; if it kept failing or not answering, it is then probed with one
/// request at a time. Reported health only affects the order of preference.
class upstream_pool
{
public:
    /// Replaces the upstreams by `members`; those already present keep their
    /// state. `warm`: new ones start with all slots.
    void adopt(const config::service& owner, std::span<const config::upstream> members, bool warm);

    /// Returns the upstream for the next request, none of `excluded`; null when
    /// none has a free slot.
    const config::upstream* choose(std::span<const config::upstream_id> excluded, base::time_point now,
                                   base::random_source& random) const;

    /// Returns true when an upstream other than `excluded` may get requests, now or
    /// later.
    bool has_other(std::span<const config::upstream_id> excluded) const;

    /// Returns the upstream when it is configured, draining or not; null otherwise.
    const config::upstream* find(config::upstream_id id) const;

    /// Returns true when this host has filled fewer than all slots of the upstream,
    /// draining, in backoff or not.
    bool is_below_capacity(config::upstream_id id) const;

    /// Returns true when the upstream may take a request now.
    bool has_free_slot(config::upstream_id id, base::time_point now) const;
    /// Returns true when some upstream may take a request now.
    bool has_free_slot(base::time_point now) const;

    /// Records that a request was sent to the upstream, which fills one slot.
    void on_sent(config::upstream_id id);
    /// Records how a request at the upstream ended after `elapsed` and frees its
    /// slot. A refusal, a failure or several unanswered requests start a backoff.
    void on_finished(config::upstream_id id, run_outcome outcome, base::duration elapsed, base::time_point now,
                     base::random_source& random);
    /// Records the reported health of the upstream; ignored when it isn't in the
    /// pool.
    void on_health(config::upstream_id id, bool healthy);

    /// Returns true when the upstream has answered any request since `since`.
    bool has_answered_since(config::upstream_id id, base::time_point since) const;

    /// Returns the number of slots that may be in use now, over all upstreams.
    std::uint32_t usable_slots(base::time_point now) const;
    /// Returns the number of slots that this host has filled, over all upstreams.
    std::uint32_t running() const noexcept { return running_; }

private:
    struct member
    {
        config::upstream target;
        bool configured = true;
        std::uint32_t running = 0;
        /// Slots that may be in use at a time; at least 1.
        double concurrency_limit = 1;
        base::time_point backoff_until{};
        std::uint32_t consecutive_refusals = 0;
        std::uint32_t consecutive_unanswered = 0;
        double error_share = 0;
        bool reported_healthy = true;
        std::uint32_t consecutive_failures = 0;
        base::time_point last_answer = base::time_point::min();
        /// Sum of the running times of its requests, for ties.
        double busy_us = 0;
    };

    std::uint32_t slots_of(const member& candidate, base::time_point now) const;
    bool is_better(const member& a, const member& b) const;
    void back_off(member& target, std::uint32_t consecutive, base::time_point now, base::random_source& random);
    void halve_busy_times();

    std::map<config::upstream_id, member> members_;
    std::uint32_t running_ = 0;
};

} // namespace galenabay::dispatch
