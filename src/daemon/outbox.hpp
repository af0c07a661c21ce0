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

/// Builds outgoing datagrams and passes them to the send thread. Owned by the decide thread. Every function updates the
/// metrics of what it sends and drops.
class outbox
{
public:
    outbox(std::string self, channels& links, packet_pool& pool, metric_table& metrics, int upstream_socket,
           int relay_socket);

    /// Forwards a received packet to an upstream behind a PROXY header. Takes ownership of the packet.
    void forward(net::packet* received, config::service_id service, const wire::proxy_header& header,
                 const base::endpoint& upstream);

    /// Sends the payload of a received packet to a caller. Takes ownership of the packet.
    void reply(net::packet* received, int socket, const base::endpoint& caller);

    /// Like `forward`, but sends a copy of `payload`.
    void send_to_upstream(std::span<const std::byte> payload, config::service_id service,
                          const wire::proxy_header& header, const base::endpoint& upstream);

    /// Like `reply`, but sends a copy of `payload`.
    void send_to_caller(std::span<const std::byte> payload, int socket, const base::endpoint& caller);

    /// Sends a message to the relay endpoint of another host.
    void send_to_host(const base::endpoint& relay, const wire::peer_datagram& message);

    /// Returns an unsent packet to the pool.
    void discard(net::packet* received);

    /// Wakes the send thread if a packet was passed to it since the last call.
    void flush();

private:
    /// Returns a packet with a copy of `payload`. Counts a drop and returns null when no buffer is free or the payload
    /// does not fit.
    net::packet* copy_to_packet(std::span<const std::byte> payload);
    void push(net::packet* ready);

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
