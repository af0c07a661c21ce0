#pragma once

#include <galenabay/steer/upstream_registry.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace galenabay::steer
{

/// Returns the answer times behind the estimate of an upstream: the fleet's sum, faded by its age, and this host's
/// recent samples.
answer_time_sum known_answer_times(const upstream_incarnation& upstream, base::time_point now);

/// Returns the answer time of an upstream relative to `reference_log`, the logarithm of its
/// service's median. 1 within a dead band, which is wider the fewer samples there are and the busier the service is,
/// and limited to [`min_relative_answer_time`, `max_relative_answer_time`]. Empty when there are too few samples.
/// `busy`: 0 while a quarter of its upstreams has free slots, 1 when none does.
std::optional<double> relative_answer_time(const answer_time_sum& answer_times, double reference_log, double busy);

/// An upstream that seems fast may only refuse its requests at once, so that little is gained by
/// trust in very short times.
constexpr double min_relative_answer_time = 0.5;
constexpr double max_relative_answer_time = 8;

/// Part of the new flows that is spread evenly over the upstreams of a service while they differ,
/// so that each one is sampled: a tenth of an even share is some 3 samples a second at a quarter of
/// the capacity of upstreams with 2 slots and requests of 15 ms.
constexpr double even_share = 0.1;

/// Upstreams that have just lost half of their capacity, and the number of all those that have.
struct answer_time_changes
{
    std::vector<upstream_token> slowed;
    std::size_t slow = 0;
};

/// Interval of `update_relative_answer_times`: that at which the fleet's sums are applied.
constexpr base::duration answer_time_interval = std::chrono::milliseconds{200};

/// Brings `relative_answer_time` of all upstreams up to date by the fleet's sums and this host's own
/// samples; without samples it moves to 1. Call it every `answer_time_interval`. `has_short_flows`: whether most
/// flows of a service carry one request; only such a service counts as busy.
answer_time_changes update_relative_answer_times(upstream_registry& registry,
                                                 const std::function<bool(const std::string&)>& has_short_flows,
                                                 base::time_point now);

} // namespace galenabay::steer
