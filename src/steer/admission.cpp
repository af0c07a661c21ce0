#include <galenabay/steer/admission.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>
#include <utility>

namespace galenabay::steer
{

namespace
{

/// Time in which a host's part of the capacity fills its budget: demand that falls is admitted in full
/// within a second.
constexpr double budget_seconds = 0.25;
/// What a host admits before its budget limits it adds up: with 2, a fleet of 400 hosts with two flows a second
/// each admitted so much in excess when a shortage began that it had to admit too little afterwards.
constexpr double smallest_budget = 1;

/// Share of this host's own flows that upstreams reject from which on it does not wait for the sums:
/// one request in eight then fails although its caller tries three times. Fewer rejections than
/// `fewest_own_rejected` come by chance: four refused some flows at 0.9 of the capacity.
constexpr double own_rejected_share = 1.0 / 2;
constexpr std::uint32_t fewest_own_rejected = 6;
/// Time constant of the occupancy: the interval of the reports. A single one is a snapshot of an instant.
constexpr double smoothing_seconds = 0.5;
/// Time for which own reports are kept: the age of the oldest sums that are used.
constexpr base::duration report_retention = std::chrono::seconds{3};

std::uint32_t in_units(double flows_per_second)
{
    return static_cast<std::uint32_t>(std::lround(flows_per_second * rate_unit));
}

std::vector<double> per_second(const std::vector<std::uint32_t>& rates, std::size_t ranks)
{
    std::vector<double> converted(ranks, 0.0);
    for (std::size_t rank = 0; rank < rates.size(); ++rank)
    {
        converted[std::min(rank, ranks - 1)] += rates[rank] / rate_unit;
    }
    return converted;
}

} // namespace

admitted_range divide_capacity(double capacity, const std::vector<double>& offered, const std::vector<double>& own)
{
    admitted_range range;
    for (std::size_t rank = 0; rank < offered.size(); ++rank)
    {
        const double share = offered[rank] <= capacity ? 1 : capacity / offered[rank];
        range.limit += share;
        range.flows_per_second += share * own[rank];
        if (share < 1)
        {
            break;
        }
        capacity -= offered[rank];
    }
    return range;
}

bool service_admission::admit(std::uint32_t rank, std::uint32_t caller_address, double turn, double lot,
                              base::time_point now)
{
    offered_[rank].count(now);
    decay_counts(now);
    const auto flows = callers_.add(caller_address);
    if (!range_)
    {
        limit_by_own_rejections(now);
    }
    if (!range_)
    {
        return true;
    }
    if (latest_occupancy_ < 1 && now >= own_limit_until_)
    {
        // With free slots nothing is refused, whatever the estimate says.
        refilled_at_ = now;
        return true;
    }
    refill(now);
    const double limit = current_limit();
    const bool is_contended = limit < rank + 1;
    const bool is_admitted = rank + turn < limit && (!is_contended || lot < fair_part(flows, callers_.mean()));
    if (is_admitted)
    {
        budget_ = std::max(budget_ - 1, -budget_size());
    }
    else
    {
        ++refused_[rank];
        refused_with_free_slots_ += latest_occupancy_ < 1 ? 1 : 0;
    }
    return is_admitted;
}

void service_admission::decay_counts(base::time_point now)
{
    // Older counts are negligible after this many steps.
    constexpr int most_steps = 20;
    decayed_at_ = std::max(decayed_at_, now - most_steps * caller_counts::decay_interval);
    for (; now - decayed_at_ >= caller_counts::decay_interval; decayed_at_ += caller_counts::decay_interval)
    {
        callers_.decay();
    }
}

void service_admission::limit_by_own_rejections(base::time_point now)
{
    const auto rejected = rejected_.latest(now);
    const auto admitted = admitted_.latest(now);
    if (now - updated_at_ >= admission::longest_silence || rejected < fewest_own_rejected ||
        rejected < own_rejected_share * admitted)
    {
        return;
    }
    std::vector<double> offered;
    for (std::size_t rank = 0; rank < ranks_; ++rank)
    {
        offered.push_back(offered_[rank].latest(now));
    }
    const double taken = admitted > rejected ? admitted - rejected : 0;
    range_ = divide_capacity(taken, offered, offered);
    // A few flows say too little to refuse the most urgent ones.
    range_->limit = ranks_ > 1 ? std::max(range_->limit, 1.0) : range_->limit;
    range_->flows_per_second /= std::chrono::duration<double>(rate_window::latest_time).count();
    budget_ = 0;
    refilled_at_ = now;
    own_limit_until_ = now + admission::longest_silence;
}

double service_admission::budget_size() const
{
    return std::max(smallest_budget, range_->flows_per_second * budget_seconds);
}

void service_admission::refill(base::time_point now)
{
    const std::chrono::duration<double> passed = now - std::exchange(refilled_at_, now);
    const double largest = budget_size() * static_cast<double>(ranks_);
    budget_ = std::min(largest, budget_ + passed.count() * range_->flows_per_second);
}

double service_admission::current_limit() const
{
    // More urgent flows than the sums contain take the place of less urgent ones, not of their own.
    const double full_ranks = std::floor(range_->limit);
    // A host that the sums do not contain yet knows no rate of its own.
    const double shift = range_->flows_per_second > 0 ? budget_ / budget_size() : 0;
    return std::max(full_ranks, range_->limit + shift);
}

bool service_admission::update(const service_demand& total, base::duration age, const room& available,
                               std::uint32_t hosts, base::duration target, base::time_point now)
{
    const auto offered = per_second(total.offered, ranks_);
    const double admitted = total.admitted / rate_unit;
    const double rejected = total.rejected / rate_unit;
    latest_occupancy_ = available.occupancy();
    smooth_occupancy(latest_occupancy_, now);
    const load_observation seen{.offered = std::accumulate(offered.begin(), offered.end(), 0.0),
                                .admitted = admitted,
                                .rejected = rejected,
                                .occupancy = occupancy_,
                                .occupancy_limit =
                                    occupancy_limit(std::max(0.0, admitted - rejected),
                                                    std::min(available.slots, available.open_requests), target),
                                .hosts = hosts};
    const bool has_changed = capacity_.update(seen, now);
    updated_at_ = now;
    if (!capacity_.flows_per_second())
    {
        if (now >= own_limit_until_)
        {
            range_.reset();
        }
        return has_changed;
    }
    if (!range_)
    {
        budget_ = 0;
        refilled_at_ = now;
    }
    range_ = divide_capacity(*capacity_.flows_per_second(), offered, per_second(reported(age, now).offered, ranks_));
    return has_changed;
}

void service_admission::smooth_occupancy(double occupancy, base::time_point now)
{
    const std::chrono::duration<double> passed = now - std::exchange(smoothed_at_, now);
    const double weight = 1 - std::exp(-passed.count() / smoothing_seconds);
    occupancy_ += weight * (occupancy - occupancy_);
}

bool service_admission::suspend()
{
    range_.reset();
    occupancy_ = 0;
    latest_occupancy_ = 0;
    updated_at_ = {};
    return capacity_.reset();
}

service_demand service_admission::report(std::uint64_t key, std::uint32_t open_requests, base::time_point now)
{
    service_demand made{.service = key,
                        .open_requests = open_requests,
                        .admitted = in_units(admitted_.rate(now)),
                        .rejected = in_units(rejected_.rate(now)),
                        .offered = {}};
    for (std::size_t rank = 0; rank < ranks_; ++rank)
    {
        made.offered.push_back(in_units(offered_[rank].rate(now)));
    }
    std::erase_if(reports_, [&](const auto& one) { return now - one.first > report_retention; });
    reports_.emplace_back(now, made);
    return made;
}

const service_demand& service_admission::reported(base::duration age, base::time_point now) const
{
    static const service_demand none;
    // Between the oldest report in the sum and the newest one.
    const auto made_by = now - age / 2;
    const auto after =
        std::find_if(reports_.rbegin(), reports_.rend(), [&](const auto& one) { return one.first <= made_by; });
    return after != reports_.rend() ? after->second : reports_.empty() ? none : reports_.front().second;
}

double service_admission::admitted_share(std::size_t rank) const
{
    return range_ ? std::clamp(range_->limit - static_cast<double>(rank), 0.0, 1.0) : 1;
}

void admission::adopt(std::vector<admitted_service> services)
{
    std::vector<service_admission> states;
    states.reserve(services.size());
    for (const auto& service : services)
    {
        const auto known = std::find_if(services_.begin(), services_.end(),
                                        [&](const admitted_service& one)
                                        { return one.key == service.key && one.urgencies == service.urgencies; });
        states.push_back(known == services_.end()
                             ? service_admission{service.urgencies.size()}
                             : std::move(states_[static_cast<std::size_t>(known - services_.begin())]));
    }
    services_ = std::move(services);
    states_ = std::move(states);
}

bool admission::admit(const admission_class& place, std::uint32_t caller_address, double lot, base::time_point now)
{
    if (place.service >= states_.size())
    {
        return true;
    }
    const auto turn = caller_turn(caller_address, now.time_since_epoch() + clock_offset_);
    return states_[place.service].admit(place.rank, caller_address, turn, lot, now);
}

void admission::count_forwarded(const admission_class& place, base::time_point now)
{
    if (place.service < states_.size())
    {
        states_[place.service].count_forwarded(now);
    }
}

} // namespace galenabay::steer
