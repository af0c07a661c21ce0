#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/peers/upstream_changes.hpp>
#include <platform/store_objects.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <iterator>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

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
    std::atomic<bool> follows{false};
    /// Time of the last packet, in microseconds of the steady clock.
    std::atomic<std::int64_t> last_packet_us{0};

    bool stopping() const noexcept { return stop_.load(); }
    void stop()
    {
        stop_.store(true);
        wake();
    }

    /// The last call for this kind of objects succeeded.
    std::atomic<bool>& store_reachable(adapter::object_kind kind) { return store_reachable_[index(kind)]; }
    bool store_reachable() const
    {
        return store_reachable_[index(adapter::object_kind::configuration)].load() &&
               store_reachable_[index(adapter::object_kind::upstreams)].load();
    }

    /// Asks for one read of a kind although this host does not watch; `peer` has newer
    /// state.
    void request_read(adapter::object_kind kind, const base::endpoint& peer)
    {
        {
            const std::lock_guard lock{mutex_};
            newer_peers_[index(kind)] = peer;
        }
        changed_.notify_all();
    }
    /// The host that had newer state at the last request; each is asked once.
    std::optional<base::endpoint> take_read_request(adapter::object_kind kind)
    {
        const std::lock_guard lock{mutex_};
        return std::exchange(newer_peers_[index(kind)], std::nullopt);
    }

    /// Sleeps until a read is requested, this host is to follow the store or the
    /// process stops, at most `limit`.
    void wait_for_work(adapter::object_kind kind, std::chrono::milliseconds limit)
    {
        std::unique_lock lock{mutex_};
        changed_.wait_for(lock, limit, [&] { return stop_.load() || follows.load() || newer_peers_[index(kind)]; });
    }
    /// Asks for the removal of the entries of lost hosts.
    void request_removal(std::vector<std::string> lost)
    {
        if (lost.empty())
        {
            return;
        }
        {
            const std::lock_guard lock{mutex_};
            lost_hosts_.insert(lost_hosts_.end(), std::make_move_iterator(lost.begin()),
                               std::make_move_iterator(lost.end()));
        }
        changed_.notify_all();
    }
    /// Sleeps until entries are to be removed or the process stops, at most `limit`;
    /// returns the names of the entries.
    std::vector<std::string> wait_for_removals(std::chrono::milliseconds limit)
    {
        std::unique_lock lock{mutex_};
        changed_.wait_for(lock, limit, [&] { return stop_.load() || !lost_hosts_.empty(); });
        return std::exchange(lost_hosts_, {});
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

    /// What the packet thread knows of a kind of objects, and nothing else; null before
    /// it is ready.
    std::shared_ptr<const peers::edge_state> snapshot(adapter::object_kind kind) const
    {
        const std::lock_guard lock{mutex_};
        return snapshots_[index(kind)];
    }
    void publish(adapter::object_kind kind, std::shared_ptr<const peers::edge_state> snapshot)
    {
        const std::lock_guard lock{mutex_};
        snapshots_[index(kind)] = std::move(snapshot);
    }

private:
    static std::size_t index(adapter::object_kind kind) { return static_cast<std::size_t>(kind); }
    static constexpr std::size_t kind_count = 3;

    std::atomic<bool> stop_{false};
    std::array<std::atomic<bool>, kind_count> store_reachable_{};
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::array<std::optional<base::endpoint>, kind_count> newer_peers_{};
    std::vector<std::string> lost_hosts_;
    base::endpoint store_;
    std::array<std::shared_ptr<const peers::edge_state>, kind_count> snapshots_;
};

/// Seconds between two times, for histograms.
inline double seconds_between(base::time_point from, base::time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace galenabay::edge
