#include "retry_budget.hpp"

#include <algorithm>
#include <chrono>

namespace galenabay::dispatch
{

namespace
{

/// Refill rate while less than one token is left, whatever the traffic.
constexpr double min_tokens_per_second = 0.2;
constexpr double max_tokens = 10;

} // namespace

void retry_budget::on_first_send() noexcept
{
    tokens_ = std::min(max_tokens, tokens_ + share_);
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
        tokens_ = std::min(1.0, tokens_ + seconds * min_tokens_per_second);
    }
}

} // namespace galenabay::dispatch
