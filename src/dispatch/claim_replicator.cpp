#include "claim_replicator.hpp"

#include <chrono>

namespace galenabay::dispatch
{

namespace
{

using namespace std::chrono_literals;

/// Most claims sent in one tick.
constexpr std::size_t max_batch_size = 10;
constexpr std::size_t max_waiting = 1U << 16U;
constexpr std::uint32_t max_attempts = 5;
constexpr base::duration repeat_interval = 50ms;

} // namespace

void claim_replicator::add(const replicated_claim& claim)
{
    if (waiting_.size() < max_waiting && waiting_.insert(claim).second)
    {
        queue_.push_back({claim, base::time_point::min(), 0});
    }
}

std::vector<replicated_claim> claim_replicator::take_due(base::time_point now)
{
    std::vector<replicated_claim> due;
    while (!queue_.empty() && queue_.front().due <= now && due.size() < max_batch_size)
    {
        attempt next = queue_.front();
        queue_.pop_front();
        if (!waiting_.contains(next.claim))
        {
            continue;
        }
        if (next.sent_count >= max_attempts)
        {
            waiting_.erase(next.claim);
            continue;
        }
        due.push_back(next.claim);
        ++next.sent_count;
        next.due = now + repeat_interval;
        queue_.push_back(next);
    }
    return due;
}

} // namespace galenabay::dispatch
