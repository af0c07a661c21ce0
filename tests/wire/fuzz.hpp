#pragma once

#include <galenabay/base/random.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdlib>
#include <memory>
#include <span>
#include <vector>

namespace galenabay::test
{

/// A copy of bytes in a memory block of exactly their size. CppUTest pads blocks
/// from operator new, so AddressSanitizer would not detect an access past the end
/// of a vector.
class exact_copy
{
public:
    explicit exact_copy(std::span<const std::byte> bytes)
        : block_{static_cast<std::byte*>(std::malloc(bytes.size())), std::free}, size_{bytes.size()}
    {
        std::copy(bytes.begin(), bytes.end(), block_.get());
    }

    std::span<const std::byte> bytes() const { return {block_.get(), size_}; }

private:
    std::unique_ptr<std::byte, decltype(&std::free)> block_;
    std::size_t size_;
};

/// Returns 0 to `max_size` uniformly random bytes.
inline std::vector<std::byte> random_bytes(base::random_source& random, std::size_t max_size)
{
    std::vector<std::byte> bytes(random.below(max_size + 1));
    for (auto& value : bytes)
    {
        value = static_cast<std::byte>(random.below(256));
    }
    return bytes;
}

/// Returns a copy with one to eight changes: a flipped bit, a new byte, a
/// truncation, an insertion.
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
