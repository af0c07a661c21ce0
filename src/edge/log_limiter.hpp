#pragma once

#include <galenabay/base/time.hpp>

#include <algorithm>
#include <cstdint>

namespace galenabay::edge
{

/// Token bucket of one kind of log line. Not thread-safe.
class log_limiter
{
public:
    /// `per_second` lines on average, `burst` at once.
    log_limiter(double per_second, double burst) : per_second_{per_second}, burst_{burst}, tokens_{burst} {}

    /// True when a line may be written now; otherwise it counts as left out.
    bool allow(base::time_point now)
    {
        const auto passed = std::chrono::duration<double>(now - last_).count();
        tokens_ = std::min(burst_, tokens_ + passed * per_second_);
        last_ = now;
        if (tokens_ < 1.0)
        {
            ++left_out_;
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

    /// Lines left out since the last call.
    std::uint64_t take_left_out()
    {
        const auto count = left_out_;
        left_out_ = 0;
        return count;
    }

private:
    double per_second_;
    double burst_;
    double tokens_;
    base::time_point last_{};
    std::uint64_t left_out_ = 0;
};

} // namespace galenabay::edge
