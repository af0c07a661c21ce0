#pragma once

#include "channels.hpp"
#include "metric_table.hpp"
#include "packet_path.hpp"
#include "packet_pool.hpp"
#include "thread_state.hpp"
#include <galenabay/net/udp_socket.hpp>

#include <galenabay/base/time.hpp>
#include <galenabay/config/host_settings.hpp>

#include <cstdint>

namespace galenabay::daemon
{

/// Body of the decide thread: passes packets, events and the time to the decision logic and publishes its results.
class decide_worker
{
public:
    decide_worker(const config::host_settings& settings, std::uint64_t seed, channels& links, packet_pool& pool,
                  metric_table& metrics, thread_state& state, const net::udp_socket& upstream_socket, int relay_socket);

    /// Runs until `thread_state::stop` is set.
    void run();

private:
    bool run_round(base::time_point now);
    bool handle_events(base::time_point now);
    bool handle_packets(base::time_point now);
    void handle(const decide_event& event, base::time_point now);
    void detect_pause(base::time_point now);
    void tick(base::time_point now);
    void send_records(base::time_point now);

    config::host_settings settings_;
    channels& links_;
    packet_pool& pool_;
    metric_table& metrics_;
    thread_state& state_;
    packet_path path_;
    base::time_point last_round_{};
    base::time_point next_tick_{};
    base::time_point next_records_{};
    base::time_point next_metrics_{};
    /// Number of the pause from which the control thread has not recovered yet; 0 if none.
    std::uint64_t open_pause_ = 0;
};

} // namespace galenabay::daemon
