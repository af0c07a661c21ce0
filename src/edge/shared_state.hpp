#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/peers/upstream_changes.hpp>
#include <platform/store_objects.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace galenabay::edge
{

/// What the threads of the process tell one another outside the rings; every access
/// is atomic or locked.
class shared_state
{
public:
    explicit shared_state(const base::endpoint& store) : store_{store} {}

    std::atomic<bool> draining{false};
    /// Configuration and upstreams are known.
    std::atomic<bool> ready{false};
    /// This host watches the store for its data centre.
    std::atomic<bool> follows{true};
    /// Time of the last packet, in microseconds of the steady clock.
    std::atomic<std::int64_t> last_packet_us{0};

    bool stopping() const noexcept { return stop_.load(); }
    void stop()
    {
        stop_.store(true);
        wake();
    }

    /// The last call for this kind of objects succeeded.
    std::atomic<bool>& store_answers(adapter::object_kind kind) { return answers_[index(kind)]; }
    bool store_answers() const
    {
        return answers_[index(adapter::object_kind::configuration)].load() &&
               answers_[index(adapter::object_kind::upstreams)].load();
    }

    /// Asks for one read of a kind although this host does not watch. `peer` has newer
    /// state, for the case that the store can't be read.
    void request_read(adapter::object_kind kind, const base::endpoint& peer)
    {
        {
            const std::lock_guard lock{mutex_};
            requested_[index(kind)] = true;
            peer_ = peer;
        }
        changed_.notify_all();
    }
    bool take_read_request(adapter::object_kind kind)
    {
        const std::lock_guard lock{mutex_};
        return std::exchange(requested_[index(kind)], false);
    }
    /// The host that had newer state at the last request; each is asked once.
    std::optional<base::endpoint> take_informed_peer()
    {
        const std::lock_guard lock{mutex_};
        return std::exchange(peer_, std::nullopt);
    }

    /// Sleeps until a read is requested, this host is to follow the store or the
    /// process stops, at most `limit`.
    void wait_for_work(adapter::object_kind kind, std::chrono::milliseconds limit)
    {
        std::unique_lock lock{mutex_};
        changed_.wait_for(lock, limit, [&] { return stop_.load() || follows.load() || requested_[index(kind)]; });
    }
    void wake()
    {
        const std::lock_guard lock{mutex_};
        changed_.notify_all();
    }

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

    /// All that the packet thread knows of the store; null before it is ready.
    std::shared_ptr<const peers::edge_state> snapshot() const
    {
        const std::lock_guard lock{mutex_};
        return snapshot_;
    }
    void publish(std::shared_ptr<const peers::edge_state> snapshot)
    {
        const std::lock_guard lock{mutex_};
        snapshot_ = std::move(snapshot);
    }

private:
    static std::size_t index(adapter::object_kind kind) { return static_cast<std::size_t>(kind); }
    static constexpr std::size_t kinds = 3;

    std::atomic<bool> stop_{false};
    std::array<std::atomic<bool>, kinds> answers_{};
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::array<bool, kinds> requested_{};
    std::optional<base::endpoint> peer_;
    base::endpoint store_;
    std::shared_ptr<const peers::edge_state> snapshot_;
};

/// Time on the line that decision logic works on.
inline base::time_point steady_now()
{
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return base::time_point{std::chrono::duration_cast<base::duration>(since_boot)};
}

/// Seconds between two times, for histograms.
inline double seconds_between(base::time_point from, base::time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace galenabay::edge
