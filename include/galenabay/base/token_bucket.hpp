#pragma once

#include <galenabay/base/time.hpp>

#include <cstdint>

namespace galenabay::base
{

/// Bounds how often something is done. Pure; owned by one thread.
class token_bucket
{
public:
    /// `per_second`: tokens that come in the long run; `burst`: tokens that may be
    /// taken at once. Both at least 1.
    token_bucket(std::uint32_t per_second, std::uint32_t burst);

    /// Takes a token if there is one.
    bool take(time_point now);

    /// Time until `take` succeeds; 0 when it does so now.
    duration time_until_available(time_point now) const;

    std::uint64_t taken() const noexcept { return taken_; }
    std::uint64_t refused() const noexcept { return refused_; }

private:
    /// Tokens at a time, in millionths of a token.
    std::int64_t tokens_at(time_point now) const;

    std::int64_t per_second_;
    std::int64_t capacity_;
    std::int64_t tokens_;
    time_point last_refill_{};
    std::uint64_t taken_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace galenabay::base
