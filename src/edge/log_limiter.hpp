#pragma once

#include <galenabay/base/token_bucket.hpp>

#include <cstdint>

#include <utility>

namespace galenabay::edge
{

/// Limits the rate of log lines of one kind and counts those suppressed. Not thread-safe.
class log_limiter
{
public:
    /// Allows `per_second` lines on average and `burst` at once.
    log_limiter(std::uint32_t per_second, std::uint32_t burst) : lines_{per_second, burst} {}

    /// Returns true when a line may be written now; otherwise it counts as suppressed.
    bool allow(base::time_point now) { return lines_.take(now); }

    /// Returns the number of lines suppressed since the last call.
    std::uint64_t take_suppressed() { return lines_.refused() - std::exchange(reported_, lines_.refused()); }

private:
    base::token_bucket lines_;
    std::uint64_t reported_ = 0;
};

} // namespace galenabay::edge
