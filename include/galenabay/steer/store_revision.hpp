#pragma once

#include <compare>
#include <cstdint>

namespace galenabay::steer
{

/// A revision of the platform's store. The store may return from an older copy and then gives
/// out later numbers again, so numbers of different epochs do not compare. Plain value.
struct store_revision
{
    /// Rises each time the store returns from an older copy; 0 when unknown.
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(const store_revision&, const store_revision&) = default;
};

} // namespace galenabay::steer
