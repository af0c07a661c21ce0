#pragma once

#include <galenabay/config/accepted_revision.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace galenabay::config
{

/// The revision in force with the latest changes that led to it, encoded for
/// peers that ask for what they miss. Owned by one thread.
class revision_log
{
public:
    /// Changes kept; a peer that misses more gets the whole.
    static constexpr std::size_t max_changes = 16;

    /// `next` is the revision now in force; `previous` the one before it, null
    /// when there was none.
    void add(const accepted_revision* previous, const accepted_revision& next);

    /// The revision that was added last; null when none was.
    const accepted_revision* latest() const noexcept { return latest_.number == 0 ? nullptr : &latest_; }

    /// The changes after revision `after`, or the whole when they are not known
    /// or very large; empty when nothing newer is in force.
    std::vector<std::byte> update_since(std::uint64_t after) const;

private:
    struct entry
    {
        std::uint64_t number = 0;
        std::vector<std::byte> bytes;
    };

    const std::vector<std::byte>& encoded_latest() const;

    accepted_revision latest_;
    /// Encoded when a peer first asks for it.
    mutable std::vector<std::byte> encoded_latest_;
    std::deque<entry> changes_;
};

} // namespace galenabay::config
