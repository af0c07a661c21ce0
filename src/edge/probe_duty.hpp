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
struct probe_answer
{
    steer::upstream_token token = 0;
    steer::probe_result result = steer::probe_result::unreachable;
};

/// Connects to suspected upstreams on a thread of its own, several at a time, and
/// tells the packet thread what that showed. Decides nothing.
class probe_duty
{
public:
    /// `consumer` belongs to the packet thread and outlives the duty.
    probe_duty(shared_state& state, net::wakeup_event& consumer);
    probe_duty(const probe_duty&) = delete;
    probe_duty& operator=(const probe_duty&) = delete;
    ~probe_duty();

    /// Packet thread: asks for an attempt; false when too many wait.
    bool ask(const steer::probe_request& request);
    /// Packet thread: takes an answer; false when there is none.
    bool take(probe_answer& answer) { return answers_.pop(answer); }
    bool has_answers() const { return answers_.size() > 0; }

private:
    struct attempt
    {
        steer::upstream_token token = 0;
        net::connection_attempt connection;
        base::time_point until{};
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
    base::ring<probe_answer> answers_{ring_capacity};
    std::vector<attempt> attempts_;
    std::thread thread_;
};

} // namespace galenabay::edge
