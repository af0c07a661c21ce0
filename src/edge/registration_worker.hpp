#pragma once

#include "edge_metrics.hpp"
#include "registration_schedule.hpp"
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
/// host that finds its entry from an earlier start does not write it again, unless the store
/// has returned from an older copy since and lost it.
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
    registration_schedule::situation situation() const;
    /// Logs and counts a failure.
    void report(const base::result<void>& done);
    /// Reads the entries of all hosts and passes them to the packet thread.
    base::result<void> refresh(adapter::read_freshness freshness);
    /// Writes the entry of this host.
    base::result<void> write_entry();
    bool is_registered(const std::vector<adapter::store_object>& hosts) const;
    base::result<void> enqueue_hosts(std::vector<adapter::store_object> hosts);
    void remove_entries(const std::vector<std::string>& lost);

    peers::member self_;
    shared_state& state_;
    edge_metrics& metrics_;
    update_ring& updates_;
    net::wakeup_event& consumer_;
    registration_schedule schedule_;
    std::thread thread_;
};

} // namespace galenabay::edge
