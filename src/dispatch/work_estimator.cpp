#include "work_estimator.hpp"

#include <galenabay/base/hash.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace galenabay::dispatch
{

namespace
{

constexpr double default_estimate_us = 10'000;
/// Multiple of the overall median from which a path counts as long.
constexpr double long_factor = 5;
constexpr std::size_t max_paths = 4096;
/// Largest change of the estimate's logarithm by one observation: large at first
/// and smaller later, so that the estimate converges near the median.
constexpr double initial_step = 1.5;
constexpr double min_step = 0.1;

std::uint64_t class_of(method kind, std::uint64_t path)
{
    return base::mix(path, static_cast<std::uint64_t>(kind));
}

} // namespace

void work_estimator::typical_time::observe(double value)
{
    if (observations == 0)
    {
        microseconds = value;
    }
    else
    {
        const double step = std::max(min_step, initial_step / observations);
        microseconds *= std::exp(std::clamp(std::log(value / microseconds), -step, step));
    }
    ++observations;
}

void work_estimator::on_finished(method kind, std::uint64_t path, base::duration elapsed)
{
    clear_if_full();
    const double observed = std::max<double>(1, static_cast<double>(elapsed.count()));
    typical_[class_of(kind, path)].observe(observed);
    overall_.observe(observed);
}

base::duration work_estimator::expected(method kind, std::uint64_t path) const
{
    const auto known = typical_.find(class_of(kind, path));
    const double guess = overall_.observations > 0 ? overall_.microseconds : default_estimate_us;
    return base::duration{
        static_cast<base::duration::rep>(known != typical_.end() ? known->second.microseconds : guess)};
}

bool work_estimator::is_long(method kind, std::uint64_t path) const
{
    const auto known = typical_.find(class_of(kind, path));
    return known != typical_.end() && known->second.microseconds > overall_.microseconds * long_factor;
}

void work_estimator::clear_if_full()
{
    if (typical_.size() >= max_paths)
    {
        typical_.clear();
    }
}

} // namespace galenabay::dispatch
