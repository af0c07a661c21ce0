#pragma once

#include <galenabay/config/accepted_revision.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace galenabay::config
{

/// The revision in force and the latest changes that led to it, encoded for
/// peers that request an update. Owned by one thread.
class revision_log
{
public:
    /// Number of changes kept; a peer that lacks more gets the full revision.
    static constexpr std::size_t max_changes = 16;

    /// Adds `next`, the revision now in force. `previous` is the one before it,
    /// null when there was none.
    void add(const accepted_revision* previous, const accepted_revision& next);

    /// Returns the revision that was added last; null when none was.
    const accepted_revision* latest() const noexcept { return latest_.number == 0 ? nullptr : &latest_; }

    /// Returns an update for a peer that has revision `after`: the changes since
    /// then, or the full revision when the changes are no longer kept or are
    /// very large. Empty when no newer revision is in force.
    std::vector<std::byte> update_since(std::uint64_t after) const;

private:
    struct entry
    {
        std::uint64_t number = 0;
        std::vector<std::byte> bytes;
    };

    const std::vector<std::byte>& encoded_latest() const;

    accepted_revision latest_;
    /// Encoded when a peer first requests it.
    mutable std::vector<std::byte> encoded_latest_;
    std::deque<entry> changes_;
};

} // namespace galenabay::config
