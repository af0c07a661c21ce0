#pragma once

#include <galenabay/base/time.hpp>

#include <chrono>

namespace galenabay::base
{

/// Time of the steady clock on the line that decision logic works on. For daemons and
/// tools; decision logic gets its time passed in.
inline time_point steady_now()
{
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(since_boot)};
}

} // namespace galenabay::base
