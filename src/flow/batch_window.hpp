#pragma once

#include <cstdint>
#include <set>

namespace galenabay::flow
{

/// Set of the numbered batches received from one sender. Accepts them in any
/// order and ignores duplicates.
class batch_window
{
public:
    /// Adds batch `number`; numbers start at 1.
    void receive(std::uint32_t number)
    {
        if (number > contiguous_)
        {
            ahead_.insert(number);
        }
        while (!ahead_.empty() && *ahead_.begin() <= contiguous_ + 1)
        {
            contiguous_ = *ahead_.begin();
            ahead_.erase(ahead_.begin());
        }
    }

    /// Returns true when batches 1 to `number` have arrived.
    bool has_all(std::uint32_t number) const noexcept { return number <= contiguous_; }

private:
    std::uint32_t contiguous_ = 0;
    std::set<std::uint32_t> ahead_;
};

} // namespace galenabay::flow
