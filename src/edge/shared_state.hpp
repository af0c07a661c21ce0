#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/time.hpp>

#include <atomic>
#include <chrono>
#include <mutex>

namespace galenabay::edge
{

/// What all threads of the process read; every access is atomic or locked.
class shared_state
{
public:
    explicit shared_state(const base::endpoint& store) : store_{store} {}

    std::atomic<bool> stop{false};
    std::atomic<bool> draining{false};
    /// Configuration and upstreams are known.
    std::atomic<bool> ready{false};
    /// Time of the last packet, in microseconds of the steady clock.
    std::atomic<std::int64_t> last_packet_us{0};

    base::endpoint store() const
    {
        const std::lock_guard lock{mutex_};
        return store_;
    }
    void set_store(const base::endpoint& store)
    {
        const std::lock_guard lock{mutex_};
        store_ = store;
    }

private:
    mutable std::mutex mutex_;
    base::endpoint store_;
};

/// Time on the line that decision logic works on.
inline base::time_point steady_now()
{
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return base::time_point{std::chrono::duration_cast<base::duration>(since_boot)};
}

} // namespace galenabay::edge
