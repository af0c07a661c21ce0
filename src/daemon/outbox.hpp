#pragma once

#include "channels.hpp"
#include "metric_table.hpp"
#include "packet_pool.hpp"
#include "service_table.hpp"

#include <galenabay/base/endpoint.hpp>
#include <galenabay/config/service_set.hpp>
#include <galenabay/wire/peer_datagram.hpp>
#include <galenabay/wire/proxy_header.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace galenabay::daemon
{

/// Builds outgoing datagrams and passes them to the send thread. Owned by the
/// decide thread. Every function counts what it sends and what it drops.
class outbox
{
public:
    outbox(std::string self, channels& links, packet_pool& pool, metric_table& metrics, int upstream_socket,
           int relay_socket);

    /// Sends a received packet on to an upstream; takes the packet over.
    void forward(packet* received, config::service_id service, const wire::proxy_header& header,
                 const base::endpoint& upstream);

    /// Sends a received packet's payload to a caller; takes the packet over.
    void reply(packet* received, int socket, const base::endpoint& caller);

    /// As `forward`, from a copy of the payload.
    void send_to_upstream(std::span<const std::byte> payload, config::service_id service,
                          const wire::proxy_header& header, const base::endpoint& upstream);

    /// As `reply`, from a copy of the payload.
    void send_to_caller(std::span<const std::byte> payload, int socket, const base::endpoint& caller);

    void send_to_host(const base::endpoint& relay, const wire::peer_datagram& message);

    /// Gives a packet that is not sent back to the pool.
    void discard(packet* received);

    /// Wakes the send thread when anything was sent since the last call.
    void flush();

private:
    /// A packet with this payload; null, and counted, when there is no buffer or it
    /// does not fit.
    packet* copy_to_packet(std::span<const std::byte> payload);
    void push(packet* ready);

    std::string self_;
    channels& links_;
    packet_pool& pool_;
    metric_table& metrics_;
    int upstream_socket_;
    int relay_socket_;
    bool pushed_ = false;
    std::vector<std::byte> header_bytes_;
};

} // namespace galenabay::daemon
