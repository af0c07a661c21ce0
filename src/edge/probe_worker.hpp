#pragma once

#include "edge_metrics.hpp"
#include "shared_state.hpp"

#include <galenabay/base/ring.hpp>
#include <galenabay/net/connection_attempt.hpp>
#include <galenabay/net/wakeup_event.hpp>
#include <galenabay/steer/upstream_probe.hpp>

#include <cstddef>
#include <thread>
#include <vector>

namespace galenabay::edge
{

/// What an attempt to connect to an upstream showed.
struct completed_probe
{
    steer::upstream_token token = 0;
    steer::probe_result result = steer::probe_result::unreachable;
};

/// Connects to suspected upstreams on a thread of its own, several at a time, and
/// tells the packet thread what that showed. Decides nothing.
class probe_worker
{
public:
    /// `consumer` belongs to the packet thread and outlives the duty.
    probe_worker(shared_state& state, net::wakeup_event& consumer);
    probe_worker(const probe_worker&) = delete;
    probe_worker& operator=(const probe_worker&) = delete;
    ~probe_worker();

    /// Packet thread: asks for an attempt; false when too many wait.
    bool request_attempt(const steer::probe_request& request);
    /// Packet thread: takes an answer; false when there is none.
    bool take_completed(completed_probe& probe) { return completed_.pop(probe); }
    bool has_completed() const { return completed_.size() > 0; }

private:
    struct attempt
    {
        steer::upstream_token token = 0;
        net::connection_attempt connection;
        base::time_point deadline{};
    };

    /// Upstreams that may be suspected at once: all of a large deployment's data centre.
    static constexpr std::size_t ring_capacity = 256;

    void run();
    void begin_attempts(base::time_point now);
    void wait(base::time_point now);
    void end_attempts(base::time_point now);

    shared_state& state_;
    net::wakeup_event& consumer_;
    net::wakeup_event wakeup_;
    base::ring<steer::probe_request> requests_{ring_capacity};
    base::ring<completed_probe> completed_{ring_capacity};
    std::vector<attempt> attempts_;
    std::thread thread_;
};

} // namespace galenabay::edge
