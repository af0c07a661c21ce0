#include <galenabay/revision/call_budget.hpp>

#include <galenabay/base/invariant.hpp>

#include <algorithm>

namespace galenabay::revision
{

namespace
{

/// One call; with times in microseconds, `per_second` tokens come in each one.
constexpr std::int64_t one_call = 1'000'000;

} // namespace

call_budget::call_budget(std::uint32_t per_second, std::uint32_t burst)
    : per_second_{per_second}, capacity_{std::int64_t{burst} * one_call}, tokens_{capacity_}
{
    GALENABAY_INVARIANT(per_second > 0 && burst > 0);
}

std::int64_t call_budget::tokens_at(base::time_point now) const
{
    const auto passed = std::max<std::int64_t>((now - refilled_).count(), 0);
    const auto full_after = (capacity_ - tokens_) / per_second_ + 1;
    return std::min(capacity_, tokens_ + std::min(passed, full_after) * per_second_);
}

bool call_budget::take(base::time_point now)
{
    tokens_ = tokens_at(now);
    refilled_ = std::max(refilled_, now);
    if (tokens_ < one_call)
    {
        ++refused_;
        return false;
    }
    tokens_ -= one_call;
    ++taken_;
    GALENABAY_INVARIANT(tokens_ >= 0);
    return true;
}

base::duration call_budget::wait(base::time_point now) const
{
    const auto missing = one_call - tokens_at(now);
    return base::duration{missing <= 0 ? 0 : (missing + per_second_ - 1) / per_second_};
}

} // namespace galenabay::revision
