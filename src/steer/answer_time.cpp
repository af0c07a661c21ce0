#include <galenabay/steer/answer_time.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>
#include <span>

namespace galenabay::steer
{

namespace
{

/// Bits of the code for the time, and the largest value of the bits for the samples.
constexpr std::uint32_t step_bits = 11;
constexpr std::uint32_t max_weight_code = 31;
/// Steps of the samples' code for each factor of 2.
constexpr double weight_steps_per_octave = 2;

std::uint32_t milliseconds_of(base::time_point at)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count());
}

} // namespace

answer_time_sum answer_time_sum::make(base::duration typical, std::uint32_t samples)
{
    answer_time_sum made;
    made.weight_ = samples * weight_unit;
    const auto time_us = static_cast<double>(std::max<std::int64_t>(typical.count(), 1));
    const auto step = std::lround(std::log2(time_us) * answer_time_code::steps_per_octave);
    made.weighted_steps_ =
        std::min(static_cast<std::uint64_t>(step), std::uint64_t{answer_time_code::max_step}) * made.weight_;
    return made;
}

double answer_time_sum::log_time() const noexcept
{
    return is_empty() ? 0
                      : static_cast<double>(weighted_steps_) / weight_ / answer_time_code::steps_per_octave *
                            std::numbers::ln2;
}

base::duration answer_time_sum::typical() const
{
    return is_empty() ? base::duration{0} : base::duration{std::llround(std::exp(log_time()))};
}

answer_time_sum& answer_time_sum::operator+=(const answer_time_sum& other) noexcept
{
    weighted_steps_ += other.weighted_steps_;
    weight_ += other.weight_;
    return *this;
}

answer_time_sum answer_time_sum::faded(base::duration age) const
{
    if (is_empty() || age <= fresh_time)
    {
        return *this;
    }
    answer_time_sum later;
    const auto left = std::max(lifetime - age, base::duration{0});
    constexpr auto fading_time = lifetime - fresh_time;
    later.weight_ = static_cast<std::uint32_t>(std::uint64_t{weight_} * static_cast<std::uint64_t>(left.count()) /
                                               static_cast<std::uint64_t>(fading_time.count()));
    later.weighted_steps_ = weighted_steps_ * later.weight_ / weight_;
    return later;
}

std::uint16_t answer_time_code::encode(const answer_time_sum& sum)
{
    if (sum.is_empty())
    {
        return 0;
    }
    const auto step = std::min<std::uint64_t>((sum.weighted_steps_ + sum.weight_ / 2) / sum.weight_, max_step);
    const auto weight = std::lround(std::log2(sum.weight_) * weight_steps_per_octave) + 1;
    return static_cast<std::uint16_t>(
        std::min<std::uint32_t>(static_cast<std::uint32_t>(weight), max_weight_code) << step_bits | step);
}

answer_time_sum answer_time_code::decode(std::uint16_t code)
{
    answer_time_sum sum;
    const std::uint32_t weight = code >> step_bits;
    if (weight == 0)
    {
        return sum;
    }
    sum.weight_ = static_cast<std::uint32_t>(std::lround(std::exp2((weight - 1) / weight_steps_per_octave)));
    sum.weighted_steps_ = std::uint64_t{code & max_step} * sum.weight_;
    return sum;
}

void answer_time_estimator::add(const answer_sample& sample, base::time_point now)
{
    const auto time_us =
        std::clamp<std::int64_t>(sample.answer_time.count(), 1, std::numeric_limits<std::uint32_t>::max());
    samples_.at(next_) = {.time_us = static_cast<std::uint32_t>(time_us),
                          .at_ms = milliseconds_of(now),
                          .is_loaded = 2 * std::uint64_t{sample.open_requests} > sample.slots};
    next_ = static_cast<std::uint8_t>((next_ + 1) % max_samples);
    count_ = static_cast<std::uint8_t>(std::min<std::size_t>(count_ + 1U, max_samples));
}

template <typename Predicate> answer_time_estimator::median answer_time_estimator::median_of(Predicate is_wanted) const
{
    std::array<std::uint32_t, max_samples> times{};
    std::size_t found = 0;
    for (const auto& sample : std::span{samples_}.first(count_))
    {
        if (is_wanted(sample))
        {
            times.at(found++) = sample.time_us;
        }
    }
    if (found == 0)
    {
        return {};
    }
    // The lower one of two samples: the longer one may be a long request.
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>((found - 1) / 2);
    std::nth_element(times.begin(), middle, times.begin() + static_cast<std::ptrdiff_t>(found));
    return {.time = base::duration{*middle}, .samples = static_cast<std::uint32_t>(found)};
}

answer_time_sum answer_time_estimator::recent(base::time_point now) const
{
    constexpr auto window_ms = static_cast<std::uint32_t>(window / std::chrono::milliseconds{1});
    const auto found =
        median_of([&](const timed_sample& sample) { return milliseconds_of(now) - sample.at_ms < window_ms; });
    return found.samples == 0 ? answer_time_sum{} : answer_time_sum::make(found.time, found.samples);
}

std::optional<std::chrono::milliseconds> answer_time_estimator::newest_age(base::time_point now) const
{
    if (count_ == 0)
    {
        return std::nullopt;
    }
    const auto& newest = samples_.at((next_ + max_samples - 1) % max_samples);
    return std::chrono::milliseconds{milliseconds_of(now) - newest.at_ms};
}

std::optional<double> answer_time_estimator::load_ratio() const
{
    constexpr std::uint32_t required_samples = 2;
    const auto loaded = median_of([](const timed_sample& sample) { return sample.is_loaded; });
    const auto idle = median_of([](const timed_sample& sample) { return !sample.is_loaded; });
    if (std::min(loaded.samples, idle.samples) < required_samples)
    {
        return std::nullopt;
    }
    return static_cast<double>(loaded.time.count()) / static_cast<double>(idle.time.count());
}

} // namespace galenabay::steer
