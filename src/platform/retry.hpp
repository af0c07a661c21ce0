#pragma once

#include <galenabay/base/result.hpp>

#include <algorithm>
#include <chrono>
#include <thread>

namespace galenabay::platform
{

/// True for failures after which the same call may succeed later.
inline bool is_transient(const base::error& failure)
{
    return failure.code() == base::error_code::timeout || failure.code() == base::error_code::unavailable ||
           failure.code() == base::error_code::exhausted;
}

/// Repeats idempotent calls with exponential backoff until `patience` is over.
struct retry_policy
{
    std::chrono::milliseconds patience{15'000};
    std::chrono::milliseconds first_pause{50};
    std::chrono::milliseconds longest_pause{1'000};

    template <typename Call> auto run(Call call) const -> decltype(call())
    {
        const auto deadline = std::chrono::steady_clock::now() + patience;
        auto pause = first_pause;
        auto outcome = call();
        while (!outcome.has_value() && is_transient(outcome.error()) &&
               std::chrono::steady_clock::now() + pause < deadline)
        {
            std::this_thread::sleep_for(pause);
            pause = std::min(2 * pause, longest_pause);
            outcome = call();
        }
        return outcome;
    }
};

} // namespace galenabay::platform
