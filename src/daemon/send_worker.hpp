#pragma once

#include "channels.hpp"
#include "metric_table.hpp"
#include "packet_pool.hpp"
#include "thread_state.hpp"
#include <galenabay/net/udp_socket.hpp>

#include <memory>
#include <vector>

namespace galenabay::daemon
{

/// Body of the send thread: writes packets to their sockets in batches, after a last check that an upstream belongs to
/// the packet's service.
class send_worker
{
public:
    send_worker(channels& links, packet_pool& pool, metric_table& metrics, const thread_state& state);

    /// Runs until `thread_state::stop` is set.
    void run();

private:
    bool collect();
    void apply_rules();
    bool is_allowed(const net::packet& waiting);
    void apply(const address_rules& rules);
    void send_collected();
    /// Sends the packets `begin` to `end` (exclusive) of the batch, which have the same socket.
    void send_run(std::size_t begin, std::size_t end);

    channels& links_;
    packet_pool& pool_;
    metric_table& metrics_;
    const thread_state& state_;
    std::shared_ptr<const upstream_allowlist> allowlist_;
    std::shared_ptr<const blocked_addresses> blocked_;
    std::vector<net::packet*> batch_;
};

} // namespace galenabay::daemon
