#pragma once

#include <galenabay/base/token_bucket.hpp>

#include <cstdint>

#include <utility>

namespace galenabay::edge
{

/// Bounds the lines of one kind and counts those left out. Not thread-safe.
class log_limiter
{
public:
    /// `per_second` lines on average, `burst` at once.
    log_limiter(std::uint32_t per_second, std::uint32_t burst) : lines_{per_second, burst} {}

    /// True when a line may be written now; otherwise it counts as left out.
    bool allow(base::time_point now) { return lines_.take(now); }

    /// Lines left out since the last call.
    std::uint64_t take_suppressed() { return lines_.refused() - std::exchange(reported_, lines_.refused()); }

private:
    base::token_bucket lines_;
    std::uint64_t reported_ = 0;
};

} // namespace galenabay::edge
