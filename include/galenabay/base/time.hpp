#pragma once

#include <chrono>

namespace galenabay::base
{

/// Clock type of the time points that decision logic uses.
///
/// It has no `now()`: the caller passes the time in, from a steady clock in the
/// daemon and from a counter in tests.
struct monotonic
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic>;
    static constexpr bool is_steady = true;
};

using duration = monotonic::duration;
using time_point = monotonic::time_point;

} // namespace galenabay::base
