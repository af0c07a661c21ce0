#include <galenabay/steer/warm_up_shares.hpp>

#include <algorithm>
#include <cmath>

namespace galenabay::steer
{

std::size_t spare_flows(double rate, double overshoot, double slack)
{
    // Removes the error of a product such as 10 x (1.2 - 1), which is just below 2.
    constexpr double rounding = 1e-9;
    constexpr double largest = max_share_holders;
    const double spare = std::floor(rate * (overshoot - 1) + slack + rounding) - 1;
    // The comparison is false for a value that is not a number.
    return spare > 0 ? static_cast<std::size_t>(std::min(spare, largest)) : 0;
}

std::size_t share_limit(double rate, double overshoot, double slack)
{
    return std::max<std::size_t>(spare_flows(rate, overshoot, slack), 1);
}

} // namespace galenabay::steer
