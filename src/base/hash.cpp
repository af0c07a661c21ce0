#include <galenabay/base/hash.hpp>

#include <galenabay/base/endpoint.hpp>

#include <xxhash.h>

namespace galenabay::base
{

std::uint64_t hash_bytes(std::span<const std::byte> bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hash_text(std::string_view text, std::uint64_t seed) noexcept
{
    return hash_bytes(std::as_bytes(std::span{text}), seed);
}

std::uint64_t hash_endpoint(const endpoint& value, std::uint64_t seed) noexcept
{
    return mix(hash_bytes(std::as_bytes(std::span{value.address()}), seed), value.port());
}

} // namespace galenabay::base
