#pragma once

#include <galenabay/base/time.hpp>

#include <cstdint>

namespace galenabay::base
{

/// Limits the rate of an operation. Does no I/O and reads no clock; used by one thread.
class token_bucket
{
public:
    /// `per_second`: rate at which tokens are added; `burst`: largest number of tokens, held at the start. Both at
    /// least 1.
    token_bucket(std::uint32_t per_second, std::uint32_t burst);

    /// Takes a token. Returns false when there is none.
    bool take(time_point now);

    /// Returns the time until `take` succeeds; 0 when it succeeds now.
    duration time_until_available(time_point now) const;

    /// Return how many calls of `take` succeeded and failed since construction.
    std::uint64_t taken() const noexcept { return taken_; }
    std::uint64_t refused() const noexcept { return refused_; }

private:
    /// Returns the tokens available at `now`, in millionths of a token.
    std::int64_t tokens_at(time_point now) const;

    std::int64_t per_second_;
    std::int64_t capacity_;
    std::int64_t tokens_;
    time_point last_refill_{};
    std::uint64_t taken_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace galenabay::base
