#pragma once

#include "requested_report.hpp"

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/peers/upstream_changes.hpp>
#include <galenabay/steer/answer_time_report.hpp>
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

/// State that the threads of the process share outside the rings. Thread-safe: every
/// access is atomic or under a lock.
class shared_state
{
public:
    explicit shared_state(const base::endpoint& store) : store_{store} {}

    std::atomic<bool> draining{false};
    /// A configuration and a list of upstreams have been applied.
    std::atomic<bool> ready{false};
    /// This host watches the store for its data centre.
    std::atomic<bool> follows{false};
    /// The store should list this host, so that others find the fleet through it.
    std::atomic<bool> should_register{false};
    /// Latest known epoch of the store.
    std::atomic<std::uint64_t> store_epoch{0};
    /// The result of a check or of a call of the watch waits for the packet thread.
    std::atomic<bool> watch_has_news{false};
    /// No other host is live.
    std::atomic<bool> alone{true};
    /// Time of the last packet from a router, in microseconds of the steady clock.
    std::atomic<std::int64_t> last_packet_us{0};
    /// The packet thread's estimates of the upstreams, for operators.
    requested_report<steer::answer_time_report> answer_times;
    /// New flows refused for lack of room while slots were free by the latest sums.
    std::atomic<std::uint64_t> refused_with_free_slots{0};

    /// Records an epoch of the store that this or another host has seen, and wakes the threads that wait for work if it
    /// is a new one.
    void observe_store_epoch(std::uint64_t epoch)
    {
        auto known = store_epoch.load();
        while (epoch > known && !store_epoch.compare_exchange_weak(known, epoch))
        {
        }
        if (epoch > known)
        {
            wake();
        }
    }

    bool stopping() const noexcept { return stop_.load(); }
    /// Makes the threads of the workers end.
    void stop()
    {
        stop_.store(true);
        wake();
    }

    /// True when the last call to the store for this kind of objects succeeded.
    std::atomic<bool>& store_reachable(adapter::object_kind kind) { return store_reachable_[index(kind)]; }
    /// Returns true when the last calls for configuration and upstreams succeeded.
    bool store_reachable() const
    {
        return store_reachable_[index(adapter::object_kind::configuration)].load() &&
               store_reachable_[index(adapter::object_kind::upstreams)].load();
    }

    /// Records that the store serves this host, before the first call of its watch has shown it.
    void set_store_reachable()
    {
        for (const auto kind : {adapter::object_kind::configuration, adapter::object_kind::upstreams})
        {
            store_reachable(kind).store(true);
        }
    }
    /// Requests a check whether the store serves this host.
    void request_store_check()
    {
        store_check_requested_.store(true);
        wake();
    }
    /// Sleeps until a check is requested or the process stops, for at most `limit`. Returns true, once per request,
    /// when it is requested.
    bool wait_for_store_check(std::chrono::milliseconds limit)
    {
        std::unique_lock lock{mutex_};
        changed_.wait_for(lock, limit, [&] { return stop_.load() || store_check_requested_.load(); });
        return store_check_requested_.exchange(false);
    }
    /// Passes the result of a check to the packet thread.
    void publish_store_check(bool is_served)
    {
        store_check_.store(is_served ? store_check::served : store_check::turned_away);
        watch_has_news.store(true);
    }
    /// Takes the result of the last check, so that each one is used once.
    std::optional<bool> take_store_check()
    {
        const auto result = store_check_.exchange(store_check::none);
        return result == store_check::none ? std::nullopt : std::optional{result == store_check::served};
    }

    /// Requests one read of a kind from `peer`, which has newer state, although this host
    /// does not watch the store.
    void request_read(adapter::object_kind kind, const base::endpoint& peer)
    {
        {
            const std::lock_guard lock{mutex_};
            newer_peers_[index(kind)] = peer;
        }
        changed_.notify_all();
    }
    /// Requests a new list of a kind from the store, because an update could not be applied.
    void request_list(adapter::object_kind kind) { list_requested_[index(kind)].store(true); }
    /// Requests a list of the upstreams that is not stale, although this host does not watch the store; or withdraws
    /// the request, which stands until it is served.
    void request_current_list(bool is_wanted)
    {
        current_list_wanted_.store(is_wanted);
        wake();
    }
    bool wants_current_list(adapter::object_kind kind) const
    {
        return kind == adapter::object_kind::upstreams && current_list_wanted_.load();
    }
    /// Takes the request for a list, so that each one is served once.
    bool take_list_request(adapter::object_kind kind) { return list_requested_[index(kind)].exchange(false); }
    /// Takes the host of the last read request, so that each request is served once.
    std::optional<base::endpoint> take_read_request(adapter::object_kind kind)
    {
        const std::lock_guard lock{mutex_};
        return std::exchange(newer_peers_[index(kind)], std::nullopt);
    }

    /// Sleeps until a read is requested, this host is to follow the store or the process
    /// stops, for at most `limit`.
    void wait_for_work(adapter::object_kind kind, std::chrono::milliseconds limit)
    {
        std::unique_lock lock{mutex_};
        changed_.wait_for(
            lock, limit,
            [&] { return stop_.load() || follows.load() || newer_peers_[index(kind)] || wants_current_list(kind); });
    }
    /// Requests the removal of the entries of lost hosts from the store.
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
    /// Sleeps until removals are requested, the store is known to have an epoch after `known_epoch`, the process stops
    /// or, if `awaits_role`, the store should list this host, for at most `limit`. Returns the names of the lost hosts.
    std::vector<std::string> wait_for_registration_work(bool awaits_role, std::uint64_t known_epoch,
                                                        std::chrono::milliseconds limit)
    {
        std::unique_lock lock{mutex_};
        changed_.wait_for(lock, limit,
                          [&]
                          {
                              return stop_.load() || !lost_hosts_.empty() || store_epoch.load() > known_epoch ||
                                     (awaits_role && should_register.load());
                          });
        return std::exchange(lost_hosts_, {});
    }
    /// Wakes the threads that wait for work.
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

    /// Returns the packet thread's state of one kind of objects, with the other kinds empty;
    /// null before it is ready.
    std::shared_ptr<const peers::edge_state> snapshot(adapter::object_kind kind) const
    {
        const std::lock_guard lock{mutex_};
        return snapshots_[index(kind)];
    }
    /// Replaces the state that `snapshot` returns.
    void publish(adapter::object_kind kind, std::shared_ptr<const peers::edge_state> snapshot)
    {
        const std::lock_guard lock{mutex_};
        snapshots_[index(kind)] = std::move(snapshot);
    }

private:
    enum class store_check
    {
        none,
        served,
        turned_away,
    };

    static std::size_t index(adapter::object_kind kind) { return static_cast<std::size_t>(kind); }
    static constexpr std::size_t kind_count = adapter::object_kind_count;

    std::atomic<bool> stop_{false};
    std::array<std::atomic<bool>, kind_count> store_reachable_{};
    std::array<std::atomic<bool>, kind_count> list_requested_{};
    std::atomic<bool> current_list_wanted_{false};
    std::atomic<bool> store_check_requested_{false};
    std::atomic<store_check> store_check_{store_check::none};
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::array<std::optional<base::endpoint>, kind_count> newer_peers_{};
    std::vector<std::string> lost_hosts_;
    base::endpoint store_;
    std::array<std::shared_ptr<const peers::edge_state>, kind_count> snapshots_;
};

/// Returns the seconds between two times, for histograms.
inline double seconds_between(base::time_point from, base::time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace galenabay::edge
