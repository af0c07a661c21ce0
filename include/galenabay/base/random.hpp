#pragma once

#include <galenabay/base/hash.hpp>

#include <cstdint>
#include <limits>

namespace galenabay::base
{

/// Small seeded pseudo-random generator; satisfies `std::uniform_random_bit_generator`.
///
/// The sequence depends on the seed alone, on every platform. Not
/// cryptographically secure.
class random_source
{
public:
    using result_type = std::uint64_t;

    explicit constexpr random_source(std::uint64_t seed) noexcept : state_{mix(seed, 1)} {}

    static constexpr result_type min() noexcept { return 0; }
    static constexpr result_type max() noexcept { return std::numeric_limits<result_type>::max(); }

    constexpr result_type operator()() noexcept
    {
        state_ += 0x9e3779b97f4a7c15ULL;
        return mix(state_, 0);
    }

    /// Uniform in [0, bound); 0 when bound is 0.
    constexpr std::uint64_t below(std::uint64_t bound) noexcept { return bound == 0 ? 0 : (*this)() % bound; }

    /// Uniform in [0, 1).
    constexpr double unit() noexcept { return static_cast<double>((*this)() >> 11) * 0x1.0p-53; }

private:
    std::uint64_t state_;
};

} // namespace galenabay::base
