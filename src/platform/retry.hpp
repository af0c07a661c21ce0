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

/// The clock that retries run on outside tests.
struct steady_time
{
    static std::chrono::steady_clock::time_point now() { return std::chrono::steady_clock::now(); }
    static void sleep_for(std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }
};

/// Growing pauses between tries until `patience` is over. `Time` has the members
/// of `steady_time`.
template <typename Time> class retry_pacer
{
public:
    explicit retry_pacer(std::chrono::milliseconds patience) : deadline_{Time::now() + patience} {}

    /// Sleeps before the next try; false when there is no time for one.
    bool pause()
    {
        if (Time::now() + pause_ > deadline_)
        {
            return false;
        }
        Time::sleep_for(pause_);
        pause_ = std::min(2 * pause_, longest_pause);
        return true;
    }

private:
    static constexpr std::chrono::milliseconds first_pause{50};
    static constexpr std::chrono::milliseconds longest_pause{1'000};

    std::chrono::steady_clock::time_point deadline_;
    std::chrono::milliseconds pause_ = first_pause;
};

/// Repeats idempotent calls until `patience` is over.
template <typename Time> struct retry_policy
{
    std::chrono::milliseconds patience{15'000};

    template <typename Call> auto run(Call call) const -> decltype(call())
    {
        retry_pacer<Time> pacer{patience};
        auto outcome = call();
        while (!outcome.has_value() && is_transient(outcome.error()) && pacer.pause())
        {
            outcome = call();
        }
        return outcome;
    }
};

} // namespace galenabay::platform
