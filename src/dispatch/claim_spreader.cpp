#include "claim_spreader.hpp"

#include <chrono>

namespace galenabay::dispatch
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t batch = 10;
constexpr std::size_t max_waiting = 1U << 16U;
constexpr std::uint32_t max_attempts = 5;
constexpr base::duration repeat_interval = 50ms;

} // namespace

void claim_spreader::add(const spread_claim& claim)
{
    if (waiting_.size() < max_waiting && waiting_.insert(claim).second)
    {
        queue_.push_back({claim, base::time_point::min(), 0});
    }
}

std::vector<spread_claim> claim_spreader::take(base::time_point now)
{
    std::vector<spread_claim> due;
    while (!queue_.empty() && queue_.front().due <= now && due.size() < batch)
    {
        attempt next = queue_.front();
        queue_.pop_front();
        if (!waiting_.contains(next.claim))
        {
            continue;
        }
        if (next.made >= max_attempts)
        {
            waiting_.erase(next.claim);
            continue;
        }
        due.push_back(next.claim);
        ++next.made;
        next.due = now + repeat_interval;
        queue_.push_back(next);
    }
    return due;
}

} // namespace galenabay::dispatch
