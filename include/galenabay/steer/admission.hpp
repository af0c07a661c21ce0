#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/steer/admission_plan.hpp>
#include <galenabay/steer/caller_fairness.hpp>
#include <galenabay/steer/capacity_estimate.hpp>
#include <galenabay/steer/rate_window.hpp>
#include <galenabay/steer/service_demand.hpp>
#include <galenabay/steer/service_room.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace galenabay::steer
{

/// The flows that a host admits while a service is short of room. A flow's position is the rank of
/// its urgency plus its caller's turn; those below `limit` are admitted. Plain value.
struct admitted_range
{
    /// Number of ranks that are admitted in full, plus the share of the next one.
    double limit = 0;
    /// Flows per second that this host admits by that limit.
    double flows_per_second = 0;

    friend auto operator<=>(const admitted_range&, const admitted_range&) = default;
};

/// Divides a capacity between urgencies in strict order. `offered`: flows per second of all hosts
/// by rank. `own`: what this host contributed to them.
admitted_range divide_capacity(double capacity, const std::vector<double>& offered, const std::vector<double>& own);

/// Admission of new flows to one service. Does no I/O: the time and the caller's turn are
/// arguments. Not thread-safe; owned by the `admission`.
///
/// The sums say which share of the fleet's flows the capacity allows. Between two sums this host
/// spends its part of that rate from a budget, which moves the limit: down when more is offered
/// than the sums say, and up, until all flows are admitted, when less is.
class service_admission
{
public:
    /// `ranks`: number of urgencies.
    explicit service_admission(std::size_t ranks) : ranks_{ranks} {}

    /// Counts a new flow and decides whether it is admitted. `turn`: of its caller, in [0, 1).
    /// `lot`: a number in [0, 1) that differs between the flows of a caller.
    bool admit(std::uint32_t rank, std::uint32_t caller_address, double turn, double lot, base::time_point now);
    /// Counts a new flow that was forwarded, and flows that upstreams rejected.
    void count_forwarded(base::time_point now) { admitted_.count(now); }
    void count_rejected(std::uint32_t flows, base::time_point now) { rejected_.count(now, flows); }

    /// Takes new sums for all hosts into account. `age`: of the oldest report in
    /// them. `target`: the service's answer target. Returns true when a shortage has begun or ended.
    bool update(const service_demand& total, base::duration age, const room& available, std::uint32_t hosts,
                base::duration target, base::time_point now);
    /// Admits everything because there are no sums. Returns true when there was a shortage.
    bool suspend();

    /// Returns this host's own demand; it is what `update` takes for this host's part of later sums.
    service_demand report(std::uint64_t key, std::uint32_t open_requests, base::time_point now);
    /// The report that a sum of the given age contains, approximately.
    const service_demand& reported(base::duration age, base::time_point now) const;

    /// Returns true while the sums show a shortage.
    bool is_short() const noexcept { return capacity_.flows_per_second().has_value(); }
    /// Open requests per slot by the latest sums.
    double occupancy() const noexcept { return occupancy_; }
    /// Flows per second that the service is estimated to take; empty without a shortage.
    std::optional<double> capacity() const noexcept { return capacity_.flows_per_second(); }
    /// Share of the new flows of a rank that the latest sums admit.
    double admitted_share(std::size_t rank) const;
    /// Returns the number of flows of a rank that were refused since the last call.
    std::uint64_t take_refused(std::size_t rank) { return std::exchange(refused_.at(rank), 0); }
    /// Returns the number of flows that were refused, since the last call, while the latest sums had fewer
    /// open requests than slots. Own rejections, which are newer than the sums, may cause such refusals.
    std::uint64_t take_refused_with_free_slots() { return std::exchange(refused_with_free_slots_, 0); }

private:
    void decay_counts(base::time_point now);
    void smooth_occupancy(double occupancy, base::time_point now);
    /// Limits the flows by this host's own rejections until the sums show the shortage.
    void limit_by_own_rejections(base::time_point now);
    /// Adds to the budget what the time since the last call allows.
    void refill(base::time_point now);
    /// Largest number of flows in the budget.
    double budget_size() const;
    /// Limit of positions at the moment.
    double current_limit() const;

    std::size_t ranks_;
    std::array<rate_window, max_urgency_ranks> offered_{};
    rate_window admitted_;
    rate_window rejected_;
    caller_counts callers_;
    base::time_point decayed_at_{};
    capacity_estimate capacity_;
    double occupancy_ = 0;
    base::time_point smoothed_at_{};
    /// Empty while everything is admitted.
    std::optional<admitted_range> range_;
    /// Flows that may be admitted above the limit (positive) or must be held below it (negative).
    double budget_ = 0;
    /// Until when this host's own rejections limit the flows.
    base::time_point own_limit_until_{};
    base::time_point updated_at_{};
    base::time_point refilled_at_{};
    /// Latest reports, newest last.
    std::vector<std::pair<base::time_point, service_demand>> reports_;
    std::array<std::uint64_t, max_urgency_ranks> refused_{};
    /// Open requests per slot by the latest sums alone, which `occupancy_` smooths.
    double latest_occupancy_ = 0;
    std::uint64_t refused_with_free_slots_ = 0;
};

/// Admission of new flows to all services of a configuration. Not thread-safe; owned by the
/// `steerer`.
class admission
{
public:
    /// Time without sums from which on nothing is refused: three digests were lost.
    static constexpr base::duration longest_silence = std::chrono::milliseconds{1'500};

    /// `clock_offset`: what to add to the time so that it counts from an origin that all hosts
    /// share, within a fraction of `turn_time`.
    explicit admission(base::duration clock_offset) : clock_offset_{clock_offset} {}

    /// Replaces the services; those that remain keep their state.
    void adopt(std::vector<admitted_service> services);
    const std::vector<admitted_service>& services() const noexcept { return services_; }
    service_admission& of(std::size_t service) { return states_.at(service); }
    const service_admission& of(std::size_t service) const { return states_.at(service); }

    /// Counts a new flow and decides whether it is admitted; always true for a service without
    /// admission. `lot`: as in `service_admission::admit`.
    bool admit(const admission_class& place, std::uint32_t caller_address, double lot, base::time_point now);
    void count_forwarded(const admission_class& place, base::time_point now);

private:
    base::duration clock_offset_;
    std::vector<admitted_service> services_;
    std::vector<service_admission> states_;
};

} // namespace galenabay::steer
