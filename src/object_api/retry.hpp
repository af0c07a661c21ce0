#pragma once

#include <galenabay/base/result.hpp>

#include <algorithm>
#include <chrono>
#include <thread>

namespace galenabay::object_api
{

/// Returns true if the same call may succeed later.
inline bool is_transient(const base::error& failure)
{
    return failure.code() == base::error_code::timeout || failure.code() == base::error_code::unavailable ||
           failure.code() == base::error_code::exhausted;
}

/// Monotonic clock and sleep for retries; tests use virtual time instead.
struct steady_time
{
    static std::chrono::steady_clock::time_point now() { return std::chrono::steady_clock::now(); }
    static void sleep_for(std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }
};

/// Exponential backoff between attempts, for at most `timeout` in total. `Time` has
/// the members of `steady_time`.
template <typename Time> class retry_backoff
{
public:
    explicit retry_backoff(std::chrono::milliseconds timeout) : deadline_{Time::now() + timeout} {}

    /// Sleeps before the next attempt; returns false if the timeout leaves no time for it.
    bool wait()
    {
        if (Time::now() + backoff_ > deadline_)
        {
            return false;
        }
        Time::sleep_for(backoff_);
        backoff_ = std::min(2 * backoff_, max_backoff);
        return true;
    }

private:
    static constexpr std::chrono::milliseconds initial_backoff{50};
    static constexpr std::chrono::milliseconds max_backoff{1'000};

    std::chrono::steady_clock::time_point deadline_;
    std::chrono::milliseconds backoff_ = initial_backoff;
};

/// Retries idempotent calls after transient errors until `timeout` has passed.
template <typename Time> struct retry_policy
{
    std::chrono::milliseconds timeout{15'000};

    template <typename Call> auto run(Call call) const -> decltype(call())
    {
        retry_backoff<Time> backoff{timeout};
        auto outcome = call();
        while (!outcome.has_value() && is_transient(outcome.error()) && backoff.wait())
        {
            outcome = call();
        }
        return outcome;
    }
};

} // namespace galenabay::object_api
