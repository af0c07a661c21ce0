#pragma once

#include <galenabay/base/random.hpp>
#include <galenabay/base/time.hpp>

#include <algorithm>
#include <cstdint>

namespace galenabay::revision
{

/// Jittered exponential pauses of one source that fails.
class backoff
{
public:
    /// The pause after one more failure: uniform between half and the whole of a
    /// limit that doubles up to `longest`.
    base::duration next(base::random_source& random, base::duration longest)
    {
        constexpr int max_doublings = 16;
        const auto limit = std::min(first * (std::int64_t{1} << std::min(failures_, max_doublings)), longest);
        ++failures_;
        const auto half = static_cast<std::uint64_t>(std::max<std::int64_t>(limit.count() / 2, 1));
        return base::duration{static_cast<std::int64_t>(half + random.below(half))};
    }

    void reset() noexcept { failures_ = 0; }
    int failures() const noexcept { return failures_; }

private:
    static constexpr base::duration first{200'000};

    int failures_ = 0;
};

} // namespace galenabay::revision
