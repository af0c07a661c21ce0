#include "relative_answer_times.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <optional>
#include <utility>

namespace galenabay::steer
{

namespace
{

/// Half width of the dead band with many samples, as a logarithm: 28 %.
constexpr double dead_band = 0.25;
/// What is added to it, divided by the square root of the samples: the standard deviation of a
/// sample's logarithm is 0.33 when 3 of 100 requests take seven times as long.
constexpr double sample_deviation = 0.5;
/// What is added to it while a service whose flows carry one request is busy: a factor of 4. The answer times of equal
/// upstreams then differ by the lengths of their queues, and hosts that take that for speed all move their flows to the
/// same upstreams. New flows are a small part of the load where flows are long, and the sums are in time.
constexpr double queue_band = 1.4;
/// Open requests for each slot from which on a service counts as busy in part, and fully.
constexpr double busy_from = 1;
constexpr double busy_at = 2;
/// Samples below which an upstream has no estimate.
constexpr double min_samples = 2;

/// Time constant with which an estimate moves to 1 without samples, and how near to 1 it then ends.
constexpr double fading_seconds = 3;
constexpr double least_deviation = 0.05;
/// Part of the way to a worse value that an estimate goes in an interval. An improvement is adopted
/// at once: a recovered upstream must get its share within 2 s. Rising at once as well makes
/// upstreams that slow down with their load oscillate, because the sums are half a second late.
constexpr double rising_gain = 0.5;

/// Relative answer time from which on an upstream counts as slow, and below which it no longer does.
constexpr double slow_limit = 2;
constexpr double slow_end = 1.5;

/// Returns the estimate that follows `previous` when the upstream's samples give `measured`; empty
/// when there are too few of them.
double next_estimate(double previous, std::optional<double> measured)
{
    static const double fading =
        std::exp(-std::chrono::duration<double>{answer_time_interval}.count() / fading_seconds);
    const double from = std::log(previous);
    const double to = measured ? std::log(*measured) : from * fading;
    const bool is_worse = measured && std::abs(to) > std::abs(from);
    const double next = is_worse ? from + rising_gain * (to - from) : to;
    return std::abs(next) < least_deviation ? 1 : std::exp(next);
}

/// Returns how busy the upstreams are, from 0 to 1. The least loaded quarter decides: slow upstreams have queues also
/// while the others have free slots. Reorders `requests_per_slot`.
double busy_part(std::vector<double>& requests_per_slot)
{
    if (requests_per_slot.empty())
    {
        return 0;
    }
    const auto quarter = requests_per_slot.begin() + static_cast<std::ptrdiff_t>(requests_per_slot.size() / 4);
    std::nth_element(requests_per_slot.begin(), quarter, requests_per_slot.end());
    return std::clamp((*quarter - busy_from) / (busy_at - busy_from), 0.0, 1.0);
}

/// Returns the logarithm of the lower median: with an even number, a slow half does not hide.
double median_of(std::vector<double> logs)
{
    const auto middle = logs.begin() + static_cast<std::ptrdiff_t>((logs.size() - 1) / 2);
    std::nth_element(logs.begin(), middle, logs.end());
    return *middle;
}

} // namespace

answer_time_sum known_answer_times(const upstream_incarnation& upstream, base::time_point now)
{
    auto sum = upstream.fleet_answer_times.faded(now - upstream.fleet_answer_times_at);
    sum += upstream.answer_times.recent(now);
    return sum;
}

std::optional<double> relative_answer_time(const answer_time_sum& answer_times, double reference_log, double busy)
{
    if (answer_times.samples() < min_samples)
    {
        return std::nullopt;
    }
    const double deviation = answer_times.log_time() - reference_log;
    const double band = dead_band + sample_deviation / std::sqrt(answer_times.samples()) + queue_band * busy;
    // Rises without a step from the edge of the dead band, so that the load does not jump.
    const double trust = std::clamp((std::abs(deviation) - band) / band, 0.0, 1.0);
    return std::clamp(std::exp(deviation * trust), min_relative_answer_time, max_relative_answer_time);
}

answer_time_changes update_relative_answer_times(upstream_registry& registry,
                                                 const std::function<bool(const std::string&)>& has_short_flows,
                                                 base::time_point now)
{
    answer_time_changes changes;
    std::vector<answer_time_sum> known;
    std::vector<double> logs;
    std::vector<double> requests_per_slot;
    registry.for_each_service(
        [&](const std::vector<upstream_incarnation*>& upstreams)
        {
            known.clear();
            logs.clear();
            requests_per_slot.clear();
            for (const auto* upstream : upstreams)
            {
                known.push_back(known_answer_times(*upstream, now));
                const double remote = std::max<double>(upstream->remote_requests, upstream->mean_remote_requests);
                requests_per_slot.push_back((upstream->open_requests + remote) / upstream->entry.slots);
                if (known.back().samples() >= min_samples)
                {
                    logs.push_back(known.back().log_time());
                }
            }
            const double reference = logs.empty() ? 0 : median_of(logs);
            const bool may_be_busy = !upstreams.empty() && has_short_flows(upstreams.front()->entry.service);
            const double busy = may_be_busy ? busy_part(requests_per_slot) : 0;
            for (std::size_t i = 0; i < upstreams.size(); ++i)
            {
                auto& upstream = *upstreams[i];
                upstream.relative_answer_time =
                    next_estimate(upstream.relative_answer_time, relative_answer_time(known[i], reference, busy));
                const bool was_slow = std::exchange(upstream.is_slow, upstream.relative_answer_time >=
                                                                          (upstream.is_slow ? slow_end : slow_limit));
                changes.slow += upstream.is_slow ? 1 : 0;
                if (upstream.is_slow && !was_slow)
                {
                    changes.slowed.push_back(upstream.token);
                }
            }
        });
    return changes;
}

} // namespace galenabay::steer
