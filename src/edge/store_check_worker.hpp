#pragma once

#include "edge_metrics.hpp"
#include "shared_state.hpp"

#include <galenabay/net/wakeup_event.hpp>

#include <thread>

namespace galenabay::edge
{

/// Checks on request whether the platform's store serves this host, on a thread of its own: the threads that watch the
/// store may be waiting for an answer.
class store_check_worker
{
public:
    /// `consumer` belongs to the packet thread and outlives this worker.
    store_check_worker(shared_state& state, edge_metrics& metrics, net::wakeup_event& consumer);
    store_check_worker(const store_check_worker&) = delete;
    store_check_worker& operator=(const store_check_worker&) = delete;
    ~store_check_worker();

private:
    void run();
    void run_step();
    /// Passes a result to the packet thread.
    void publish(bool is_served);

    shared_state& state_;
    edge_metrics& metrics_;
    net::wakeup_event& consumer_;
    /// Result of the last check.
    bool is_served_ = true;
    std::thread thread_;
};

} // namespace galenabay::edge
