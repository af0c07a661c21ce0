#pragma once

#include <galenabay/base/time.hpp>

#include <time.h>

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

/// Returns the time since the machine started, which unlike `steady_now` includes the time that
/// it was suspended. For daemons, to detect that the process did not run.
inline time_point boot_now()
{
    timespec now{};
    // Fails only for a clock that the kernel does not have.
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto since_boot = std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec};
    return time_point{std::chrono::duration_cast<duration>(since_boot)};
}

} // namespace galenabay::base
