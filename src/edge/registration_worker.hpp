#pragma once

#include "edge_metrics.hpp"
#include "shared_state.hpp"
#include "store_update.hpp"

#include <galenabay/net/wakeup_event.hpp>

#include <platform/store_client.hpp>

#include <string>
#include <thread>
#include <vector>

namespace galenabay::edge
{

/// Keeps this host's address in the platform's store, reads those of the other hosts and
/// removes those of lost hosts, on a thread of its own. A host that finds its entry from
/// an earlier start does not write it again; hosts that start later send their statuses to
/// the addresses that they find.
class registration_worker
{
public:
    /// `updates` and `consumer` belong to the packet thread and outlive this worker.
    registration_worker(std::string name, const base::endpoint& address, shared_state& state, edge_metrics& metrics,
                        update_ring& updates, net::wakeup_event& consumer);
    registration_worker(const registration_worker&) = delete;
    registration_worker& operator=(const registration_worker&) = delete;
    ~registration_worker();

private:
    void run();
    base::result<void> register_and_list();
    base::result<std::vector<adapter::store_object>> list_hosts(adapter::store_client& client,
                                                                adapter::read_freshness freshness);
    bool is_registered(const std::vector<adapter::store_object>& hosts) const;
    void enqueue_hosts(std::vector<adapter::store_object> hosts);
    void remove_entries(const std::vector<std::string>& lost);

    std::string name_;
    base::endpoint address_;
    shared_state& state_;
    edge_metrics& metrics_;
    update_ring& updates_;
    net::wakeup_event& consumer_;
    std::thread thread_;
};

} // namespace galenabay::edge
