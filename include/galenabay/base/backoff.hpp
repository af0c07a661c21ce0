#pragma once

#include <galenabay/base/random.hpp>
#include <galenabay/base/time.hpp>

#include <algorithm>
#include <cstdint>

namespace galenabay::base
{

/// Jittered, exponentially growing pauses between the retries of one operation.
class backoff
{
public:
    /// `first`: upper limit of the first pause.
    explicit constexpr backoff(duration first) noexcept : first_{first} {}

    /// Counts a failure and returns the pause before the next attempt. The pause is uniform between half a limit and
    /// the limit, which doubles with each failure up to `longest`.
    duration next(random_source& random, duration longest)
    {
        constexpr int max_doublings = 16;
        const auto limit = std::min(first_ * (std::int64_t{1} << std::min(failures_, max_doublings)), longest);
        ++failures_;
        const auto half = static_cast<std::uint64_t>(std::max<std::int64_t>(limit.count() / 2, 1));
        return duration{static_cast<std::int64_t>(half + random.below(half))};
    }

    /// Resets the count of failures, after a success.
    void reset() noexcept { failures_ = 0; }
    int failures() const noexcept { return failures_; }

private:
    duration first_;
    int failures_ = 0;
};

} // namespace galenabay::base
