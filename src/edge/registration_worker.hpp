#pragma once

#include "edge_metrics.hpp"
#include "shared_state.hpp"
#include "store_update.hpp"

#include <galenabay/net/wakeup_event.hpp>
#include <galenabay/peers/load_sums.hpp>

#include <platform/store_client.hpp>

#include <string>
#include <thread>
#include <vector>

namespace galenabay::edge
{

/// Reads the addresses of other hosts from the platform's store, removes those of lost hosts,
/// and writes this host's own once it collects loads, on a thread of its own. Hosts that start
/// later find the fleet through these entries when the seeds in their settings are down. A
/// host that finds its entry from an earlier start does not write it again.
class registration_worker
{
public:
    /// `updates` and `consumer` belong to the packet thread and outlive this worker.
    registration_worker(peers::member self, shared_state& state, edge_metrics& metrics, update_ring& updates,
                        net::wakeup_event& consumer);
    registration_worker(const registration_worker&) = delete;
    registration_worker& operator=(const registration_worker&) = delete;
    ~registration_worker();

private:
    void run();
    /// Reads the list or writes the entry when it is due, and waits for the next work.
    void run_step();
    /// Logs and counts a failure. Returns true when there was none.
    bool report(const base::result<void>& done);
    /// Reads the entries of all hosts and passes them to the packet thread.
    base::result<void> refresh();
    /// Writes the entry of this host.
    base::result<void> write_entry();
    base::result<std::vector<adapter::store_object>> list_hosts(adapter::store_client& client,
                                                                adapter::read_freshness freshness);
    bool is_registered(const std::vector<adapter::store_object>& hosts) const;
    base::result<void> enqueue_hosts(std::vector<adapter::store_object> hosts);
    void remove_entries(const std::vector<std::string>& lost);

    peers::member self_;
    shared_state& state_;
    edge_metrics& metrics_;
    update_ring& updates_;
    net::wakeup_event& consumer_;
    /// The store lists this host with its address.
    bool registered_ = false;
    /// The last attempt to read the list or to write the entry, and whether it succeeded.
    base::time_point attempted_at_{};
    bool succeeded_ = false;
    std::thread thread_;
};

} // namespace galenabay::edge
