#pragma once

#include "edge_metrics.hpp"
#include "shared_state.hpp"
#include "store_update.hpp"
#include "store_watch.hpp"

#include <galenabay/net/wakeup_event.hpp>
#include <platform/store_client.hpp>

#include <optional>
#include <thread>

namespace galenabay::edge
{

/// Follows one kind of objects in the platform's store on a thread of its own, so that its
/// blocking calls do not delay packets, and passes the updates to the packet thread.
class store_worker
{
public:
    /// `updates` and `consumer` belong to the packet thread and outlive this worker.
    store_worker(adapter::object_kind kind, store_watch_options options, std::uint64_t seed, shared_state& state,
                 edge_metrics& metrics, update_ring& updates, net::wakeup_event& consumer);
    store_worker(const store_worker&) = delete;
    store_worker& operator=(const store_worker&) = delete;
    ~store_worker();

private:
    void run();
    /// Makes the next call, or waits until there is one to make.
    void run_step();
    void perform(adapter::store_client& client, const store_call& call, base::duration watch_wait);
    /// Tells the packet thread whether the last call succeeded.
    void set_reachable();
    /// Reads from a host that has newer state, which saves calls to the store. Returns false
    /// when that failed.
    bool read_from_peer(const base::endpoint& peer);
    void on_list(const store_call& call, const base::result<adapter::store_page>& answer);
    void on_watch(const base::result<adapter::store_page>& answer);
    void on_failure(const base::error& failure);
    /// Logs and counts objects without a readable name.
    void report_unnamed(const adapter::store_page& page);
    /// Logs that the store returned from an older copy. `position`: revision after which this
    /// host asked for changes, or 0 for a list.
    void observe_epoch(const adapter::store_page& page, std::uint64_t position);
    void enqueue(store_update update);

    adapter::object_kind kind_;
    store_watch_options options_;
    store_watch watch_;
    shared_state& state_;
    edge_metrics& metrics_;
    update_ring& updates_;
    net::wakeup_event& consumer_;
    std::vector<adapter::store_object> listed_;
    /// Epoch of the last answer.
    std::optional<std::uint64_t> epoch_;
    std::thread thread_;
};

} // namespace galenabay::edge
