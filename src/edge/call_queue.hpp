#pragma once

#include <galenabay/base/ring.hpp>

#include <cstddef>
#include <memory>
#include <utility>

namespace galenabay::edge
{

/// Bounded queue of calls between the thread that requests them and the one that makes them. A call that ends with an
/// exception is not made again, since it may always end so, but it is not lost either.
template <typename Call> class call_queue
{
public:
    explicit call_queue(std::size_t capacity) : calls_{capacity} {}

    /// Requesting thread only. Returns false when the queue is full.
    bool push(Call call) { return calls_.push(std::make_shared<const Call>(std::move(call))); }
    std::size_t size() const { return calls_.size(); }

    /// Making thread only. Calls `make` with the oldest call, or `fail` when `make` has ended with an exception for it,
    /// and removes the call. Returns false when the queue is empty.
    template <typename Make, typename Fail> bool use_first(Make make, Fail fail)
    {
        return calls_.use_first(
            [&](const std::shared_ptr<const Call>& call)
            {
                if (!std::exchange(is_begun_, true))
                {
                    make(*call);
                }
                else
                {
                    fail(*call);
                }
                is_begun_ = false;
            });
    }

private:
    base::ring<std::shared_ptr<const Call>> calls_;
    /// `make` was called with the oldest call.
    bool is_begun_ = false;
};

} // namespace galenabay::edge
