#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/steer/upstream_registry.hpp>

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace galenabay::steer
{

/// What a host knows of the speed of one upstream. Plain value.
struct upstream_answer_time
{
    std::string service;
    std::string id;
    /// Answer time relative to the median of the service's upstreams; 1 when unknown.
    double relative = 1;
    /// Samples of all hosts behind the estimate, rounded; those that have faded count in part.
    std::uint32_t samples = 0;
    /// Time since this host's newest sample, or since a sum with samples of the fleet last arrived, whichever is
    /// shorter; empty when there was none. A sample in a sum is up to 4.4 s older: `answer_time_estimator::window`
    /// and `answer_time_sum::lifetime`.
    std::optional<std::chrono::milliseconds> newest_sample_ago{};

    friend auto operator<=>(const upstream_answer_time&, const upstream_answer_time&) = default;
};

/// The estimates of a host. Plain value.
struct answer_time_report
{
    /// Largest number of upstreams: some 50 KB as text, which a link of 10 Mbit/s carries in 40 ms.
    static constexpr std::size_t max_upstreams = 512;

    /// Ordered by service and id.
    std::vector<upstream_answer_time> upstreams;
    /// Upstreams beyond `max_upstreams`: those whose estimates are nearest to 1.
    std::size_t left_out = 0;

    friend auto operator<=>(const answer_time_report&, const answer_time_report&) = default;
};

/// Returns the estimates of the upstreams that have not ended.
answer_time_report report_answer_times(const upstream_registry& registry, base::time_point now);

} // namespace galenabay::steer
