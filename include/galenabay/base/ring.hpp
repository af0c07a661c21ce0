#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace galenabay::base
{

/// Bounded queue between one producing and one consuming thread.
///
/// A push to a full ring drops the element and counts it; nothing blocks.
template <typename T> class ring
{
public:
    /// `capacity` in elements.
    explicit ring(std::size_t capacity) : queue_{capacity}, capacity_{capacity} {}

    /// Producer only. False when the ring was full and the element was dropped.
    bool push(T element)
    {
        if (queue_.push(std::move(element)))
        {
            return true;
        }
        drops_.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    /// Consumer only. False when the ring is empty.
    bool pop(T& element) { return queue_.pop(element); }

    /// Consumer only. Calls `use` with the oldest element and removes the element when `use`
    /// returns; after an exception it is still queued. False when the ring is empty.
    template <typename Use> bool use_first(Use use)
    {
        if (queue_.read_available() == 0)
        {
            return false;
        }
        use(std::as_const(queue_.front()));
        queue_.pop();
        return true;
    }

    /// Returns the number of queued elements; an estimate when called from a third thread.
    std::size_t size() const { return queue_.read_available(); }
    std::size_t capacity() const noexcept { return capacity_; }
    /// Returns how many elements were dropped since construction.
    std::uint64_t drops() const noexcept { return drops_.load(std::memory_order_relaxed); }

private:
    boost::lockfree::spsc_queue<T> queue_;
    std::size_t capacity_;
    std::atomic<std::uint64_t> drops_{0};
};

} // namespace galenabay::base
