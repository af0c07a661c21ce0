#pragma once

#include <galenabay/base/random.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace galenabay::test
{

/// Uniformly random bytes, 0 to `max_size` of them.
inline std::vector<std::byte> random_bytes(base::random_source& random, std::size_t max_size)
{
    std::vector<std::byte> bytes(random.below(max_size + 1));
    for (auto& value : bytes)
    {
        value = static_cast<std::byte>(random.below(256));
    }
    return bytes;
}

/// A copy with one to eight changes: a flipped bit, a new byte, a cut, an insertion.
inline std::vector<std::byte> mutate(std::span<const std::byte> valid, base::random_source& random)
{
    std::vector<std::byte> bytes{valid.begin(), valid.end()};
    for (auto left = 1 + random.below(8); left > 0 && !bytes.empty(); --left)
    {
        const auto at = random.below(bytes.size());
        switch (random.below(4))
        {
        case 0:
            bytes[at] ^= static_cast<std::byte>(1U << random.below(8));
            break;
        case 1:
            bytes[at] = static_cast<std::byte>(random.below(256));
            break;
        case 2:
            bytes.resize(at);
            break;
        default:
            bytes.insert(bytes.begin() + static_cast<std::ptrdiff_t>(at), static_cast<std::byte>(random.below(256)));
        }
    }
    bytes.shrink_to_fit();
    return bytes;
}

} // namespace galenabay::test
