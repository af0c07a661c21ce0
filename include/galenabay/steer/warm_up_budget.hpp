#pragma once

#include <galenabay/base/time.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace galenabay::steer
{

/// Paces the new flows to one starting upstream: a token bucket of depth 1, so that any span of one
/// second has at most one flow more than the rate. Does no I/O and reads no clock.
///
/// With `catch_up`, the time for which a token waited for a flow shortens the time to the next one,
/// as far as any span of each of `checked_spans` has no more flows than without: the number of flows
/// that fit into it at the rate, and one, or those that the limit on all hosts leaves for this one if that is more. A
/// host that gets few new flows then uses its part of the rate.
class warm_up_budget
{
public:
    enum class pacing
    {
        depth_one,
        catch_up,
    };

    /// The span that is limited, and one with the difference of the delays between hosts and upstreams. The
    /// longer one alone would let all of its flows be sent within the first second.
    static constexpr std::array<base::duration, 2> checked_spans{std::chrono::milliseconds{1'000},
                                                                 std::chrono::milliseconds{1'100}};

    /// Returns true before the first flow.
    bool is_unused() const noexcept { return next_at_ == base::time_point{}; }

    /// Returns true when a new flow may go to the upstream.
    bool has_token(base::time_point now) const noexcept { return now >= next_at_; }

    /// Takes the token, which is there again after the time between two flows of `rate` a second.
    /// `rate`: above 0. `allowed`: flows that each of `checked_spans` may have with `catch_up`; 0 for no more than
    /// without it.
    void take(double rate, base::time_point now, pacing how = pacing::depth_one, std::size_t allowed = 0)
    {
        constexpr double microseconds_per_second = 1e6;
        // Longer than any warm-up.
        constexpr double longest_us = 86'400 * microseconds_per_second;
        const double spacing_us = std::fmin(std::ceil(microseconds_per_second / rate), longest_us);
        const base::duration spacing{static_cast<base::duration::rep>(spacing_us)};
        if (how == pacing::depth_one)
        {
            next_at_ = now + spacing;
            return;
        }
        // Flows in a span are at most the whole part of (span + tolerance) / spacing, and one.
        auto tolerance = base::duration::max();
        for (const auto span : checked_spans)
        {
            // An upstream that has just started gets its first flows no faster than with a depth of 1.
            const auto more = is_unused() ? 0 : static_cast<std::int64_t>(allowed);
            const auto flows = std::max(span / spacing + 1, more);
            tolerance = std::min(tolerance, flows * spacing - span - base::duration{1});
        }
        next_at_ = std::max(next_at_ + spacing, now + spacing - tolerance);
    }

private:
    base::time_point next_at_{};
};

} // namespace galenabay::steer
