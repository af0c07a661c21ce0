#include <galenabay/base/token_bucket.hpp>

#include <galenabay/base/invariant.hpp>

#include <algorithm>

namespace galenabay::base
{

namespace
{

/// One token in millionths. Times are in microseconds, so `per_second` millionths are added per microsecond.
constexpr std::int64_t one_token = 1'000'000;

} // namespace

token_bucket::token_bucket(std::uint32_t per_second, std::uint32_t burst)
    : per_second_{per_second}, capacity_{std::int64_t{burst} * one_token}, tokens_{capacity_}
{
    GALENABAY_INVARIANT(per_second > 0 && burst > 0);
}

std::int64_t token_bucket::tokens_at(time_point now) const
{
    const auto passed = std::max<std::int64_t>((now - last_refill_).count(), 0);
    const auto full_after = (capacity_ - tokens_) / per_second_ + 1;
    return std::min(capacity_, tokens_ + std::min(passed, full_after) * per_second_);
}

bool token_bucket::take(time_point now)
{
    tokens_ = tokens_at(now);
    last_refill_ = std::max(last_refill_, now);
    if (tokens_ < one_token)
    {
        ++refused_;
        return false;
    }
    tokens_ -= one_token;
    ++taken_;
    GALENABAY_INVARIANT(tokens_ >= 0);
    return true;
}

duration token_bucket::time_until_available(time_point now) const
{
    const auto missing = one_token - tokens_at(now);
    return duration{missing <= 0 ? 0 : (missing + per_second_ - 1) / per_second_};
}

} // namespace galenabay::base
