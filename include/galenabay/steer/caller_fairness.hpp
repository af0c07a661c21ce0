#pragma once

#include <galenabay/base/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace galenabay::steer
{

/// Time for which a caller's turn stays the same. A caller that tries again after a refusal usually
/// waits about as long, so that it meets another turn.
constexpr base::duration turn_time = std::chrono::milliseconds{100};

/// Returns a caller's turn in [0, 1) in the slot that contains `time`, which counts from an origin
/// that all hosts share. In consecutive slots it moves on by the golden ratio, so that a caller of
/// which a share s is admitted is refused in at most 3 / s consecutive slots.
double caller_turn(std::uint32_t caller_address, base::duration time) noexcept;

/// Approximate number of recent new flows by caller address, in constant memory. A count is never
/// too low; two callers that share their places in both rows are counted together. Not thread-safe.
class caller_counts
{
public:
    /// Counts a new flow and returns the caller's recent ones, this one included.
    double add(std::uint32_t caller_address);
    /// Lets older flows count for less; call it every `decay_interval`.
    void decay();
    /// Mean of the callers with recent flows, as of the last `decay`; 0 when there are none.
    double mean() const noexcept { return mean_; }

    static constexpr base::duration decay_interval = std::chrono::seconds{1};

private:
    static constexpr std::size_t places = 512;

    std::array<std::array<float, places>, 2> rows_{};
    double mean_ = 0;
};

/// Returns the part of a caller's flows that are considered at all: 1 for most callers, and for one whose
/// flows exceed the mean many times over, what leaves it with the mean.
double fair_part(double flows, double mean) noexcept;

} // namespace galenabay::steer
