#include <galenabay/steer/capacity_estimate.hpp>

#include <algorithm>
#include <chrono>

namespace galenabay::steer
{

namespace
{

/// Part of the answer target that the typical answer may take. A caller tries three times within the
/// target, and answers at the 99th percentile take a multiple of the typical time.
constexpr double answer_time_part = 1.0 / 4;
/// One request in progress and two that wait for each slot. No slot is idle between two requests, and
/// of a queue of four for each slot, half is left for an uneven spread.
constexpr double full_occupancy = 3;
/// Share of the flows that upstreams reject from which on there is a shortage: 16 of 1,000 requests then fail
/// although their callers try three times. At 0.2, chance began shortages at 0.95 of the capacity.
constexpr double rejected_share = 0.25;
constexpr double fewest_rejected = 1;
/// Share of rejected flows below which upstreams may queue without a limit, or rejections not be recognised.
constexpr double least_counted_share = 0.01;
/// Share of rejected flows up to which more flows are admitted than the upstreams serve. Their queues are
/// then never empty, so that no flow is refused while slots are free, and one request in a thousand fails.
constexpr double tolerated_share = 0.1;
/// Factor on the limit from which on an occupancy is a shortage without counted rejections.
constexpr double occupancy_allowance = 1.25;
/// Time after which a change of the estimate is visible in the sums: a second for the sums to
/// arrive and one for the window of the rates.
constexpr base::duration correction_interval = std::chrono::seconds{2};
/// Time after the begin of a shortage after which the sums no longer contain flows of before it: 1.5 s for the
/// sums to arrive and the window of the rates, and a half for what was admitted in excess.
constexpr base::duration settling_time = std::chrono::milliseconds{3'000};
/// Time for which less is offered than the estimate before it is dropped: the reports of all hosts
/// are renewed within it.
constexpr base::duration end_delay = std::chrono::milliseconds{1'000};
/// Corrections while the occupancy is around its limit, where a few hundredths of the load decide
/// between an idle slot and a full queue.
constexpr double small_decrease = 0.95;
constexpr double small_increase = 1.03;
/// Correction when nearly twice as many requests are open as in time: half the upstreams may be lost.
constexpr double largest_decrease = 0.6;
/// Largest correction when slots are free.
constexpr double largest_increase = 1.3;
/// Largest estimate, relative to what is served.
constexpr double largest_excess = 1.5;

double served(const load_observation& seen)
{
    return std::max(0.0, seen.admitted - seen.rejected);
}

/// Returns true when enough rejections are known to tell what the upstreams serve.
bool counts_rejections(const load_observation& seen)
{
    return seen.rejected > std::max(fewest_rejected, least_counted_share * seen.admitted);
}

/// Returns true when upstreams reject flows for lack of room. While slots are free on average,
/// rejections are due to an uneven spread, against which refusals would not help.
bool is_rejecting(const load_observation& seen)
{
    return seen.occupancy >= 1 && seen.rejected > std::max(fewest_rejected, rejected_share * seen.admitted);
}

/// Returns the flows per second at which `tolerated_share` would be rejected, if what is served stayed the same.
double tolerated(const load_observation& seen)
{
    return served(seen) / (1 - tolerated_share);
}

/// Returns true when queues are so long that answers are, or are about to be, late. Without counted rejections,
/// the occupancy is the only sign; close to the capacity it exceeds its limit for moments.
bool has_long_queues(const load_observation& seen, double allowance)
{
    return !counts_rejections(seen) && seen.occupancy >= seen.occupancy_limit * allowance;
}

} // namespace

double occupancy_limit(double served, double busy_slots, base::duration answer_target)
{
    if (answer_target <= base::duration{0} || busy_slots <= 0)
    {
        return full_occupancy;
    }
    // By Little's law, a busy slot serves one request in each processing time.
    const auto allowed = std::chrono::duration<double>(answer_target).count() * answer_time_part;
    return std::clamp(served * allowed / busy_slots, 1.0, full_occupancy);
}

bool capacity_estimate::reset()
{
    const bool was_short = capacity_.has_value();
    *this = {};
    return was_short;
}

void capacity_estimate::begin(const load_observation& seen, base::time_point now)
{
    capacity_ = counts_rejections(seen) ? tolerated(seen) : served(seen);
    begun_at_ = now;
    corrected_at_ = now;
    enough_since_.reset();
    hosts_ = seen.hosts;
}

bool capacity_estimate::update(const load_observation& seen, base::time_point now)
{
    if (!capacity_)
    {
        if ((is_rejecting(seen) || has_long_queues(seen, occupancy_allowance)) && served(seen) > 0)
        {
            begin(seen, now);
        }
        return capacity_.has_value();
    }
    // Sums of another part of the fleet are of another capacity.
    const auto difference = seen.hosts > hosts_ ? seen.hosts - hosts_ : hosts_ - seen.hosts;
    if (std::uint64_t{difference} * 4 > hosts_)
    {
        return reset();
    }
    correct(seen, now);
    // Refused callers try again, so that more may be offered than there is demand. Short queues and no rejections show
    // that the service takes more.
    const bool has_room = !counts_rejections(seen) && seen.occupancy < seen.occupancy_limit / 2;
    if (seen.offered >= *capacity_ && !has_room)
    {
        enough_since_.reset();
        return false;
    }
    enough_since_ = enough_since_.value_or(now);
    return now - *enough_since_ >= end_delay && reset();
}

void capacity_estimate::correct(const load_observation& seen, base::time_point now)
{
    const bool has_counted = counts_rejections(seen);
    if (now - begun_at_ < (has_counted ? settling_time : correction_interval))
    {
        // The first sums contain flows of before the shortage. While upstreams reject flows, no slot is free, so
        // that what is served is what the upstreams take.
        const double shown = has_counted ? tolerated(seen) : served(seen);
        capacity_ = is_rejecting(seen) ? shown : std::max(*capacity_, shown);
        return;
    }
    if (now - corrected_at_ < correction_interval)
    {
        return;
    }
    // What the service serves is the same for all hosts: each correction starts there, so that the
    // estimates of the hosts do not drift apart.
    if (has_long_queues(seen, 1))
    {
        const double excess = seen.occupancy / seen.occupancy_limit - 1;
        capacity_ = std::min(*capacity_, served(seen)) * std::clamp(1 - excess / 2, largest_decrease, small_decrease);
    }
    else if (seen.rejected > tolerated_share * seen.admitted)
    {
        capacity_ = std::min(*capacity_, tolerated(seen));
    }
    else
    {
        // Hosts with few flows do not spend all of their budgets, so that less may be admitted than the estimate.
        // Between the rejections of now and the tolerated ones.
        const double margin = 1 + tolerated_share - seen.rejected / std::max(seen.admitted, 1.0);
        const double least = has_counted ? std::max(small_increase, margin) : small_increase;
        const double increase = std::clamp(1 / std::max(seen.occupancy, 0.1), least, largest_increase);
        const double raised = std::min(std::max(*capacity_, served(seen)) * increase, largest_excess * served(seen));
        // Without a sign of a shortage the estimate never falls: less is served because less is admitted.
        capacity_ = std::max(*capacity_, raised);
    }
    corrected_at_ = now;
}

} // namespace galenabay::steer
