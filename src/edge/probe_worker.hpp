#pragma once

#include "edge_metrics.hpp"
#include "shared_state.hpp"

#include <galenabay/base/ring.hpp>
#include <galenabay/net/connection_attempt.hpp>
#include <galenabay/net/wakeup_event.hpp>

#include <galenabay/steer/upstream_probe.hpp>
#include <prometheus/counter.h>

#include <cstddef>
#include <thread>
#include <vector>

namespace galenabay::edge
{

/// Result of an attempt to connect to an upstream, by token. Plain value.
struct completed_probe
{
    steer::upstream_token token = 0;
    steer::probe_result result = steer::probe_result::unreachable;
};

/// Connects to suspected upstreams on a thread of its own, several at a time, and
/// passes the results to the packet thread, which acts on them.
class probe_worker
{
public:
    /// `consumer` belongs to the packet thread and outlives this worker. `failures` counts the
    /// steps that ended with an exception.
    probe_worker(shared_state& state, net::wakeup_event& consumer, prometheus::Counter& failures);
    probe_worker(const probe_worker&) = delete;
    probe_worker& operator=(const probe_worker&) = delete;
    ~probe_worker();

    /// Starts the thread, which ends when the state says that the process stops.
    void start();

    /// Requests an attempt; called on the packet thread. Returns false when too many wait.
    bool request_attempt(const steer::probe_request& request);
    /// Takes a result; called on the packet thread. Returns false when there is none.
    bool take_completed(completed_probe& probe) { return completed_.pop(probe); }
    bool has_completed() const { return completed_.size() > 0; }

private:
    struct attempt
    {
        steer::upstream_token token = 0;
        net::connection_attempt connection;
        base::time_point deadline{};
    };

    /// Number of upstreams that may be suspected at once: all of a data centre in a large
    /// deployment.
    static constexpr std::size_t ring_capacity = 256;

    void run();
    void begin_attempts(base::time_point now);
    void wait(base::time_point now);
    void end_attempts(base::time_point now);

    shared_state& state_;
    net::wakeup_event& consumer_;
    prometheus::Counter& failures_;
    net::wakeup_event wakeup_;
    base::ring<steer::probe_request> requests_{ring_capacity};
    base::ring<completed_probe> completed_{ring_capacity};
    std::vector<attempt> attempts_;
    std::thread thread_;
};

} // namespace galenabay::edge
