#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace galenabay::base
{

class endpoint;

/// 64-bit hashes that are the same on every host and in every release.
std::uint64_t hash_bytes(std::span<const std::byte> bytes, std::uint64_t seed = 0) noexcept;
std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0) noexcept;
std::uint64_t hash_endpoint(const endpoint& value, std::uint64_t seed = 0) noexcept;

/// Mixes two 64-bit values into one; not commutative.
constexpr std::uint64_t mix(std::uint64_t a, std::uint64_t b) noexcept
{
    std::uint64_t x = a ^ (b + 0x9e3779b97f4a7c15ULL + (a << 6) + (a >> 2));
    x ^= x >> 33;
    x *= 0xff51afd7ed558ccdULL;
    x ^= x >> 33;
    x *= 0xc4ceb9fe1a85ec53ULL;
    x ^= x >> 33;
    return x;
}

} // namespace galenabay::base
