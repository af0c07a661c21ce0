#include <galenabay/steer/caller_fairness.hpp>

#include <galenabay/base/hash.hpp>

#include <algorithm>
#include <cmath>

namespace galenabay::steer
{

namespace
{

/// Fractional part of the golden ratio: its multiples are spread over [0, 1) as evenly as possible.
constexpr double golden_part = 0.6180339887498949;
/// Weight of the flows of one second ago relative to those of now.
constexpr float decay_factor = 0.7F;
/// Counts below which a place is empty: a flow of seven seconds ago.
constexpr float negligible = 0.1F;
/// A caller is heavy from this many times the mean on, and from this many flows on. Among callers
/// with equal rates, fewer than one in ten thousand has such a count by chance (Poisson).
constexpr double heavy_factor = 4;
constexpr double fewest_heavy = 12;

} // namespace

double caller_turn(std::uint32_t caller_address, base::duration time) noexcept
{
    const auto slot = static_cast<std::uint64_t>(time / turn_time);
    const auto start = static_cast<double>(base::mix(caller_address, 0x7475726eU) >> 11U) * 0x1.0p-53;
    // The slot number is reduced first: the product of a large one would have no exact fraction.
    constexpr std::uint64_t period = 1U << 20U;
    const auto position = start + golden_part * static_cast<double>(slot % period);
    return position - std::floor(position);
}

double caller_counts::add(std::uint32_t caller_address)
{
    const auto hash = base::mix(caller_address, 0x636f756eU);
    auto& first = rows_[0][hash % places];
    auto& second = rows_[1][(hash >> 32U) % places];
    first += 1;
    second += 1;
    return std::min(first, second);
}

void caller_counts::decay()
{
    double total = 0;
    std::size_t callers = 0;
    for (auto& row : rows_)
    {
        for (auto& count : row)
        {
            count = count < negligible ? 0 : count * decay_factor;
        }
    }
    for (const auto count : rows_[0])
    {
        total += count;
        callers += count > 0 ? 1 : 0;
    }
    mean_ = callers > 0 ? total / static_cast<double>(callers) : 0;
}

double fair_part(double flows, double mean) noexcept
{
    return mean > 0 && flows >= fewest_heavy && flows > heavy_factor * mean ? mean / flows : 1;
}

} // namespace galenabay::steer
