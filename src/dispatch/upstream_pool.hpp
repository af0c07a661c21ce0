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
    failed,
    refused,
    cancelled,
    unanswered,
};

/// The upstreams of a shard: which one takes the next request.
///
/// Counts the slots that this host has filled; a cold upstream starts with one
/// slot and earns more by answers, one that sheds or stays silent rests and is
/// then probed with one request. Reported load only breaks ties.
class upstream_pool
{
public:
    /// Takes over the upstreams of a shard; known ones keep their state.
    /// `warm`: new ones start with all slots.
    void adopt(const config::service& owner, std::span<const config::upstream> members, bool warm);

    /// The upstream for the next request, none of `excluded`; null when none
    /// has a free slot.
    const config::upstream* choose(std::span<const config::upstream_id> excluded, base::time_point now,
                                   base::random_source& random) const;

    /// True when an upstream other than `excluded` may get work, now or later.
    bool has_other(std::span<const config::upstream_id> excluded) const;

    /// True when the upstream is configured, draining or not.
    const config::upstream* find(config::upstream_id id) const;

    /// True when the upstream, draining or not, has a slot that this host
    /// hasn't filled.
    bool is_below_capacity(config::upstream_id id) const;

    /// True when the upstream may take a request now.
    bool has_free_slot(config::upstream_id id, base::time_point now) const;
    /// True when some upstream may take a request now.
    bool has_free_slot(base::time_point now) const;

    void on_sent(config::upstream_id id);
    void on_finished(config::upstream_id id, run_outcome outcome, base::duration elapsed, base::time_point now,
                     base::random_source& random);
    void on_health(config::upstream_id id, bool healthy);

    /// True when the upstream has answered something since `since`.
    bool has_answered_since(config::upstream_id id, base::time_point since) const;

    /// Slots that may be filled now, all upstreams together.
    std::uint32_t usable_slots(base::time_point now) const;
    std::uint32_t running() const noexcept { return running_; }

private:
    struct member
    {
        config::upstream target;
        bool configured = true;
        std::uint32_t running = 0;
        /// Slots that the upstream has earned; at least 1.
        double concurrency_limit = 1;
        base::time_point backoff_until{};
        std::uint32_t consecutive_refusals = 0;
        std::uint32_t consecutive_unanswered = 0;
        double error_share = 0;
        bool reported_healthy = true;
        std::uint32_t consecutive_failures = 0;
        base::time_point last_answer = base::time_point::min();
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
