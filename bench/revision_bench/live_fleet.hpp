#pragma once

#include <galenabay/config/revision_log.hpp>
#include <galenabay/object_api/revision_store.hpp>
#include <galenabay/revision/follower.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace galenabay::bench
{

/// A host reduced to the distribution of revisions: the production follower and
/// platform client, on two threads. Peers are called directly instead of by RPC.
class live_host
{
public:
    /// If `reaches_platform` is false, the host has no connection to the platform
    /// and receives revisions from peers only.
    live_host(std::size_t index, const base::endpoint& platform, bool reaches_platform);
    live_host(const live_host&) = delete;
    live_host& operator=(const live_host&) = delete;
    ~live_host();

    /// Starts both threads. `fleet` includes this host and must outlive it.
    void start(const std::vector<std::unique_ptr<live_host>>& fleet);
    /// Stops and joins both threads; does nothing if they do not run.
    void stop();

    /// Number of the revision in force; 0: none.
    std::uint64_t number() const noexcept { return number_.load(); }
    /// Number of adoptions of a revision that was not newer than the one in force.
    std::uint64_t reversions() const noexcept { return reversions_.load(); }
    /// Bytes of updates that this host sent to peers.
    std::uint64_t bytes_sent() const noexcept { return bytes_sent_.load(); }

private:
    using clock = std::chrono::steady_clock;

    void run_control();
    void run_fetches();
    void perform(const revision::actions& actions);
    void adopt();
    void process_fetch_result();
    void receive_heartbeats();
    void fetch_from(const revision::fetch_from_peer& fetch);
    std::vector<std::byte> update_since(std::uint64_t after);
    base::time_point now() const;

    std::size_t index_;
    bool reaches_platform_;
    object_api::revision_store store_;
    revision::follower follower_;
    clock::time_point started_ = clock::now();
    clock::time_point next_heartbeat_ = started_;
    const std::vector<std::unique_ptr<live_host>>* fleet_ = nullptr;

    std::mutex log_mutex_;
    config::revision_log log_;

    std::mutex fetch_mutex_;
    std::optional<revision::fetch_from_platform> requested_fetch_;
    std::optional<base::result<std::optional<object_api::stored_revision>>> fetch_result_;

    std::atomic<std::uint64_t> number_{0};
    std::atomic<std::uint64_t> reversions_{0};
    std::atomic<std::uint64_t> bytes_sent_{0};
    std::atomic<bool> stopping_{false};
    std::thread control_thread_;
    std::thread watcher_thread_;
};

} // namespace galenabay::bench
