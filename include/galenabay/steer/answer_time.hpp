#pragma once

#include <galenabay/base/time.hpp>

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace galenabay::steer
{

/// Typical answer time of an upstream and the number of samples behind it. Sums of several hosts
/// add up: the result has the geometric mean of their times, weighted by their samples, which a
/// slow answer moves less than it moves a mean. Plain value.
class answer_time_sum
{
public:
    constexpr answer_time_sum() = default;

    /// Returns a sum of `samples` samples whose typical time is `typical`; empty without samples.
    static answer_time_sum make(base::duration typical, std::uint32_t samples);

    bool is_empty() const noexcept { return weight_ == 0; }
    /// Number of samples, less those that have faded.
    double samples() const noexcept { return static_cast<double>(weight_) / weight_unit; }
    /// Natural logarithm of the typical time in microseconds; 0 when empty.
    double log_time() const noexcept;
    /// Typical time; zero when empty.
    base::duration typical() const;

    answer_time_sum& operator+=(const answer_time_sum& other) noexcept;
    /// Returns the sum `age` later: from `fresh_time` on its samples count less and less, and not at
    /// all after `lifetime`.
    answer_time_sum faded(base::duration age) const;

    friend auto operator<=>(const answer_time_sum&, const answer_time_sum&) = default;

    /// Age up to which a sum counts fully: two intervals of the exchange, so that each step of it
    /// leaves the samples as they are.
    static constexpr base::duration fresh_time = std::chrono::milliseconds{1'000};
    /// Time after which samples of another host are not used: longer than two status intervals of
    /// a host and one interval of the collectors.
    static constexpr base::duration lifetime = std::chrono::milliseconds{3'000};

private:
    friend struct answer_time_code;

    /// Weight of one sample.
    static constexpr std::uint32_t weight_unit = 4;

    /// Sum of the logarithms of the times, each multiplied by its weight, in steps of
    /// `answer_time_code`.
    std::uint64_t weighted_steps_ = 0;
    std::uint32_t weight_ = 0;
};

/// Encoding of an `answer_time_sum` in two bytes: 11 bits for the time in steps of 1.1 % from 1 µs
/// on, and 5 bits for the samples in steps of a factor of the square root of 2. 0 means none.
struct answer_time_code
{
    static std::uint16_t encode(const answer_time_sum& sum);
    static answer_time_sum decode(std::uint16_t code);

    /// Steps of the time's logarithm for each factor of 2, and the largest step.
    static constexpr double steps_per_octave = 64;
    static constexpr std::uint32_t max_step = 2'047;
};

/// A request and its answer, as a host sees them. Plain value.
struct answer_sample
{
    /// Time from the request's packet to the first acknowledgement of its answer, less a round trip.
    base::duration answer_time{0};
    /// Requests that the upstream had when this one came, this one included, by the sums.
    std::uint32_t open_requests = 1;
    /// Requests that the upstream processes at once.
    std::uint32_t slots = 1;

    friend auto operator<=>(const answer_sample&, const answer_sample&) = default;
};

/// Typical time that one upstream takes for a request, by the latest samples of one host: their
/// median, so that a few long requests do not matter.
class answer_time_estimator
{
public:
    void add(const answer_sample& sample, base::time_point now);
    /// Returns the estimate of the samples within `window`.
    answer_time_sum recent(base::time_point now) const;
    /// Returns the age of the newest sample, modulo 2^32 ms (49 days); empty without samples.
    std::optional<std::chrono::milliseconds> newest_age(base::time_point now) const;
    /// Returns how much longer requests took while more than half of the slots were in use, as a
    /// ratio of medians; near 1 for an upstream that is slow at any load. Empty without two samples
    /// of each kind. Regards the samples that are kept, whatever their age.
    std::optional<double> load_ratio() const;

    /// Age up to which samples count: a change of an upstream must be in all sums within 2 s, of
    /// which the exchange takes half a second.
    static constexpr base::duration window = std::chrono::milliseconds{1'400};
    /// Samples kept; at higher rates they cover a shorter time than `window`.
    static constexpr std::size_t max_samples = 8;

private:
    struct timed_sample
    {
        std::uint32_t time_us = 0;
        /// Time of the sample in milliseconds, modulo 2^32.
        std::uint32_t at_ms = 0;
        /// More than half of the slots were in use.
        bool is_loaded = false;
    };

    struct median
    {
        base::duration time{0};
        std::uint32_t samples = 0;
    };

    /// Returns the median of the samples for which `is_wanted` is true.
    template <typename Predicate> median median_of(Predicate is_wanted) const;

    std::array<timed_sample, max_samples> samples_{};
    /// Number of samples that were added, up to `max_samples`, and the place of the next one.
    std::uint8_t count_ = 0;
    std::uint8_t next_ = 0;
};

} // namespace galenabay::steer
