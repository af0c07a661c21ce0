#pragma once

#include <galenabay/base/time.hpp>

#include <cstdint>

namespace galenabay::dispatch
{

/// Token bucket that limits retries and hedges to a share of the first attempts,
/// with a small refill rate for services that are nearly idle.
class retry_budget
{
public:
    /// Sets the share in percent of first attempts; 0 allows no extra request.
    void set_percent(std::uint32_t percent) noexcept { share_ = percent / 100.0; }

    /// Adds the share of one request that was sent for the first time.
    void on_first_send() noexcept;

    /// Takes the token of one extra request; returns false when none is left.
    bool take(base::time_point now) noexcept;

private:
    void refill(base::time_point now) noexcept;

    double share_ = 0.1;
    double tokens_ = 1;
    base::time_point refilled_{};
};

} // namespace galenabay::dispatch
