#include "retry_budget.hpp"

#include <algorithm>
#include <chrono>

namespace galenabay::dispatch
{

namespace
{

constexpr double floor_per_second = 0.2;
constexpr double largest_reserve = 10;

} // namespace

void retry_budget::on_first_send() noexcept
{
    tokens_ = std::min(largest_reserve, tokens_ + share_);
}

bool retry_budget::take(base::time_point now) noexcept
{
    refill(now);
    if (tokens_ < 1)
    {
        return false;
    }
    tokens_ -= 1;
    return true;
}

void retry_budget::refill(base::time_point now) noexcept
{
    if (share_ <= 0)
    {
        tokens_ = 0;
        return;
    }
    const double seconds = std::chrono::duration<double>{now - refilled_}.count();
    refilled_ = now;
    if (tokens_ < 1)
    {
        tokens_ = std::min(1.0, tokens_ + seconds * floor_per_second);
    }
}

} // namespace galenabay::dispatch
