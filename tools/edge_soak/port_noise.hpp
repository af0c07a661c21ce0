#pragma once

#include "fault_schedule.hpp"
#include "host_processes.hpp"

#include <galenabay/net/udp_socket.hpp>

#include <memory>
#include <vector>

namespace galenabay::edge_soak
{

/// Uses the ports of hosts as no caller should: connections whose requests never end,
/// datagrams of random bytes, other listeners on a host's metrics port. Also stops reading
/// the output of hosts. Use it from one thread.
class port_noise
{
public:
    port_noise(fault_schedule& schedule, host_processes& hosts, const base::endpoint& local);

    /// Begins a random fault at a host in use.
    void begin(double now);

private:
    /// Opens connections with unfinished requests to one port of a host and holds them.
    void hold_connections(std::size_t host, double now);
    void send_datagrams(std::size_t host);
    /// Occupies the metrics port of a host while it restarts.
    void hold_metrics_port(std::size_t host, double now);
    void stall_output(double now);

    fault_schedule& schedule_;
    host_processes& hosts_;
    net::udp_socket socket_;
};

} // namespace galenabay::edge_soak
