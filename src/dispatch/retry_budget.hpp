#pragma once

#include <galenabay/base/time.hpp>

#include <cstdint>

namespace galenabay::dispatch
{

/// Limits extra upstream requests to a share of the first ones, with a small
/// floor for services that are nearly idle.
class retry_budget
{
public:
    void set_percent(std::uint32_t percent) noexcept { share_ = percent / 100.0; }

    /// A request was sent for the first time.
    void on_first_send() noexcept;

    /// Takes one extra request out of the budget; false when it is spent.
    bool take(base::time_point now) noexcept;

private:
    void refill(base::time_point now) noexcept;

    double share_ = 0.1;
    double tokens_ = 1;
    base::time_point refilled_{};
};

} // namespace galenabay::dispatch
