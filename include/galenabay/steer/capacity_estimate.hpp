#pragma once

#include <galenabay/base/time.hpp>

#include <compare>
#include <cstdint>
#include <optional>

namespace galenabay::steer
{

/// Load of a service as the sums of all hosts show it; rates in flows per second. Plain value.
struct load_observation
{
    double offered = 0;
    double admitted = 0;
    double rejected = 0;
    /// Open requests per slot.
    double occupancy = 0;
    /// Occupancy up to which answers are in time.
    double occupancy_limit = 1;
    /// Hosts that the sums add up.
    std::uint32_t hosts = 0;

    friend auto operator<=>(const load_observation&, const load_observation&) = default;
};

/// Returns the occupancy up to which a service's answers are in time: `served` flows per second on
/// `busy_slots`, whose callers want an answer within `answer_target` (0: not stated).
double occupancy_limit(double served, double busy_slots, base::duration answer_target);

/// Estimate of the new flows per second that a service can take. Unlimited until the sums show a
/// shortage. Not thread-safe; owned by the `admission`.
class capacity_estimate
{
public:
    /// Takes sums into account. Returns true when a shortage has begun or ended.
    bool update(const load_observation& seen, base::time_point now);
    /// Returns to the unlimited state. Returns true when there was a shortage.
    bool reset();

    /// Empty while nothing limits the service.
    std::optional<double> flows_per_second() const noexcept { return capacity_; }

private:
    void begin(const load_observation& seen, base::time_point now);
    /// Corrects the estimate, at most once within the time that a correction takes to show.
    void correct(const load_observation& seen, base::time_point now);

    std::optional<double> capacity_;
    base::time_point begun_at_{};
    base::time_point corrected_at_{};
    /// Since when less is offered than the estimate.
    std::optional<base::time_point> enough_since_;
    std::uint32_t hosts_ = 0;
};

} // namespace galenabay::steer
