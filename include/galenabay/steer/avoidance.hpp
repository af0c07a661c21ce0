#pragma once

#include <galenabay/base/time.hpp>

#include <compare>
#include <cstddef>
#include <string>

namespace galenabay::steer
{

/// Upstreams of a service, and what the evidence of this host says about them. Plain value.
struct avoidance_counts
{
    /// Upstreams that are registered and may take new flows.
    std::size_t upstreams = 0;
    /// Those that strong evidence excludes: a silent link, failed attempts to connect, or callers
    /// that repeated packets and got no answer.
    std::size_t failed = 0;
    /// Those against which there is weak evidence only: unanswered SYNs or votes of other hosts. An
    /// upstream that has no room for a moment gives rise to both.
    std::size_t doubted = 0;

    friend auto operator<=>(const avoidance_counts&, const avoidance_counts&) = default;
};

/// Returns true when weak evidence must not exclude any upstream: it would leave less than half of
/// those that strong evidence leaves, and more than double their load. Half may really have failed.
constexpr bool ignores_doubts(const avoidance_counts& counts)
{
    const auto left = counts.upstreams - counts.failed;
    return 2 * counts.doubted > left;
}

/// Begin or end of a time in which weak evidence excludes no upstream of a service.
struct avoidance_change
{
    std::string service;
    bool ignored = false;
    avoidance_counts counts;
    /// How long the weak evidence was ignored, if that has ended.
    base::duration lasted{0};

    friend auto operator<=>(const avoidance_change&, const avoidance_change&) = default;
};

} // namespace galenabay::steer
