#pragma once

#include <cstdint>
#include <set>

namespace galenabay::flow
{

/// Which numbered batches of one sender have arrived, in any order, some twice.
class batch_window
{
public:
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

    /// True when batches 1 to `number` have arrived.
    bool has_all(std::uint32_t number) const noexcept { return number <= contiguous_; }

private:
    std::uint32_t contiguous_ = 0;
    std::set<std::uint32_t> ahead_;
};

} // namespace galenabay::flow
