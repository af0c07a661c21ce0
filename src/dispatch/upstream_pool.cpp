#include "upstream_pool.hpp"

#include <galenabay/base/invariant.hpp>

#include <algorithm>

namespace galenabay::dispatch
{

namespace
{

using namespace std::chrono_literals;

constexpr base::duration first_backoff = 20ms;
constexpr base::duration max_backoff = 2s;
/// Unanswered requests in a row after which an upstream backs off.
constexpr std::uint32_t unanswered_limit = 3;
/// Increase of the concurrency limit by one answer.
constexpr double limit_increase = 0.125;
/// Factor of the concurrency limit for a refusal.
constexpr double limit_decrease_factor = 0.5;
/// Weight of the last answer in the moving average of failures.
constexpr double error_weight = 0.1;
/// Average of failures above which an upstream counts as failing.
constexpr double error_limit = 0.5;
/// Busy time of one upstream above which those of all are halved.
constexpr double busy_limit_us = 60e6;

bool is_excluded(std::span<const config::upstream_id> excluded, config::upstream_id id)
{
    return std::find(excluded.begin(), excluded.end(), id) != excluded.end();
}

} // namespace

void upstream_pool::adopt(const config::service& owner, std::span<const config::upstream> members, bool warm)
{
    for (auto& [id, known] : members_)
    {
        known.configured = false;
    }
    double largest_busy_us = 0;
    for (const auto& [id, known] : members_)
    {
        largest_busy_us = std::max(largest_busy_us, known.busy_us);
    }
    for (const auto& target : members)
    {
        const auto [place, added] = members_.try_emplace(config::id_of(owner, target));
        member& entry = place->second;
        entry.target = target;
        entry.configured = true;
        if (added)
        {
            entry.concurrency_limit = warm ? target.slots : 1;
            entry.busy_us = largest_busy_us;
        }
    }
    std::erase_if(members_, [](const auto& entry) { return !entry.second.configured && entry.second.running == 0; });
}

std::uint32_t upstream_pool::slots_of(const member& candidate, base::time_point now) const
{
    if (!candidate.configured || candidate.target.draining || candidate.backoff_until > now)
    {
        return 0;
    }
    const bool is_probing = candidate.consecutive_unanswered >= unanswered_limit || candidate.error_share > error_limit;
    const auto concurrency_limit = static_cast<std::uint32_t>(std::max(1.0, candidate.concurrency_limit));
    return is_probing ? 1 : std::min(candidate.target.slots, concurrency_limit);
}

bool upstream_pool::is_better(const member& a, const member& b) const
{
    if (a.reported_healthy != b.reported_healthy)
    {
        return a.reported_healthy;
    }
    const bool failing_a = a.error_share > error_limit;
    if (failing_a != (b.error_share > error_limit))
    {
        return !failing_a;
    }
    const std::uint64_t load_a = std::uint64_t{a.running} * b.target.slots;
    const std::uint64_t load_b = std::uint64_t{b.running} * a.target.slots;
    if (load_a != load_b)
    {
        return load_a < load_b;
    }
    return a.busy_us / a.target.slots < b.busy_us / b.target.slots;
}

const config::upstream* upstream_pool::choose(std::span<const config::upstream_id> excluded, base::time_point now,
                                              base::random_source& random) const
{
    const member* best = nullptr;
    for (const auto& [id, candidate] : members_)
    {
        if (candidate.running >= slots_of(candidate, now) || is_excluded(excluded, id))
        {
            continue;
        }
        const bool is_tie = best != nullptr && !is_better(candidate, *best) && !is_better(*best, candidate);
        if (best == nullptr || is_better(candidate, *best) || (is_tie && random.below(2) == 0))
        {
            best = &candidate;
        }
    }
    return best == nullptr ? nullptr : &best->target;
}

bool upstream_pool::has_other(std::span<const config::upstream_id> excluded) const
{
    return std::any_of(members_.begin(), members_.end(),
                       [&](const auto& entry) {
                           return entry.second.configured && !entry.second.target.draining &&
                                  !is_excluded(excluded, entry.first);
                       });
}

const config::upstream* upstream_pool::find(config::upstream_id id) const
{
    const auto place = members_.find(id);
    return place == members_.end() || !place->second.configured ? nullptr : &place->second.target;
}

bool upstream_pool::is_below_capacity(config::upstream_id id) const
{
    const auto place = members_.find(id);
    return place != members_.end() && place->second.running < place->second.target.slots;
}

bool upstream_pool::has_free_slot(config::upstream_id id, base::time_point now) const
{
    const auto place = members_.find(id);
    return place != members_.end() && place->second.running < slots_of(place->second, now);
}

bool upstream_pool::has_free_slot(base::time_point now) const
{
    return std::any_of(members_.begin(), members_.end(),
                       [&](const auto& entry) { return entry.second.running < slots_of(entry.second, now); });
}

void upstream_pool::on_sent(config::upstream_id id)
{
    const auto place = members_.find(id);
    GALENABAY_INVARIANT(place != members_.end());
    ++place->second.running;
    ++running_;
}

void upstream_pool::on_finished(config::upstream_id id, run_outcome outcome, base::duration elapsed,
                                base::time_point now, base::random_source& random)
{
    const auto place = members_.find(id);
    GALENABAY_INVARIANT(place != members_.end() && place->second.running > 0);
    member& target = place->second;
    --target.running;
    --running_;
    target.busy_us += static_cast<double>(elapsed.count());
    if (target.busy_us > busy_limit_us)
    {
        halve_busy_times();
    }
    if (outcome == run_outcome::unanswered)
    {
        if (++target.consecutive_unanswered >= unanswered_limit)
        {
            back_off(target, target.consecutive_unanswered, now, random);
        }
        return;
    }
    if (outcome == run_outcome::cancelled)
    {
        return;
    }
    target.last_answer = now;
    target.consecutive_unanswered = 0;
    if (outcome == run_outcome::refused)
    {
        target.concurrency_limit = std::max(1.0, target.concurrency_limit * limit_decrease_factor);
        back_off(target, ++target.consecutive_refusals, now, random);
        return;
    }
    target.consecutive_refusals = 0;
    target.concurrency_limit = std::min<double>(target.target.slots, target.concurrency_limit + limit_increase);
    const double failed = outcome == run_outcome::failed ? 1 : 0;
    target.error_share += error_weight * (failed - target.error_share);
    target.consecutive_failures = outcome == run_outcome::failed ? target.consecutive_failures + 1 : 0;
    if (target.consecutive_failures > 0 && target.error_share > error_limit)
    {
        back_off(target, target.consecutive_failures, now, random);
    }
}

void upstream_pool::back_off(member& target, std::uint32_t consecutive, base::time_point now,
                             base::random_source& random)
{
    const std::uint32_t doublings = std::min<std::uint32_t>(consecutive, 8) - 1;
    const base::duration span = std::min<base::duration>(max_backoff, first_backoff * (1U << doublings));
    const auto jitter = static_cast<base::duration::rep>(random.unit() * static_cast<double>(span.count()) / 2);
    target.backoff_until = std::max(target.backoff_until, now + span / 2 + base::duration{jitter});
}

void upstream_pool::halve_busy_times()
{
    for (auto& [id, entry] : members_)
    {
        entry.busy_us /= 2;
    }
}

void upstream_pool::on_health(config::upstream_id id, bool healthy)
{
    if (const auto place = members_.find(id); place != members_.end())
    {
        place->second.reported_healthy = healthy;
    }
}

bool upstream_pool::has_answered_since(config::upstream_id id, base::time_point since) const
{
    const auto place = members_.find(id);
    return place != members_.end() && place->second.last_answer >= since;
}

std::uint32_t upstream_pool::usable_slots(base::time_point now) const
{
    std::uint32_t total = 0;
    for (const auto& [id, candidate] : members_)
    {
        total += slots_of(candidate, now);
    }
    return total;
}

} // namespace galenabay::dispatch
