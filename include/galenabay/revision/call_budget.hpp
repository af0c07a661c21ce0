#pragma once

#include <galenabay/base/time.hpp>

#include <cstdint>

namespace galenabay::revision
{

/// Token bucket for this host's calls to the platform. Pure; owned by one thread.
class call_budget
{
public:
    /// `per_second`: calls that are allowed in the long run; `burst`: calls that
    /// may come at once. Both at least 1.
    call_budget(std::uint32_t per_second, std::uint32_t burst);

    /// Takes one call when the budget allows it.
    bool take(base::time_point now);

    /// Time until `take` succeeds; 0 when it does so now.
    base::duration wait(base::time_point now) const;

    std::uint64_t taken() const noexcept { return taken_; }
    std::uint64_t refused() const noexcept { return refused_; }

private:
    /// Tokens at a time, in millionths of a call.
    std::int64_t tokens_at(base::time_point now) const;

    std::int64_t per_second_;
    std::int64_t capacity_;
    std::int64_t tokens_;
    base::time_point refilled_{};
    std::uint64_t taken_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace galenabay::revision
