#pragma once

#include <galenabay/base/time.hpp>

#include <chrono>

namespace galenabay::base
{

/// Returns the time of the steady clock as a time point of the decision logic. For daemons and tools; decision logic
/// receives the time as a parameter.
inline time_point steady_now()
{
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(since_boot)};
}

} // namespace galenabay::base
