#pragma once

#include "edge_metrics.hpp"
#include "log_limiter.hpp"

#include <galenabay/net/packet.hpp>
#include <galenabay/net/udp_socket.hpp>
#include <galenabay/peers/fleet_exchange.hpp>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace galenabay::edge
{

/// Sends and receives the datagrams of the `fleet_exchange`. Owned by the packet thread.
class peer_link
{
public:
    peer_link(net::udp_socket socket, peers::fleet_exchange exchange, edge_metrics& metrics);

    int descriptor() const noexcept { return socket_.descriptor(); }
    peers::fleet_exchange& exchange() noexcept { return exchange_; }

    /// Reads one batch of datagrams and calls `apply` with the effects of each. Returns true when
    /// the view of the other hosts may have changed. SYNs that hosts passed on are kept for `take_relayed`.
    bool receive(base::time_point now, const std::function<void(const peers::fleet_exchange::effects&)>& apply);

    /// Takes the SYNs that other hosts passed on to this one.
    std::vector<peers::relayed_syn> take_relayed() { return std::exchange(relayed_, {}); }

    /// Sends messages of the exchange.
    void send(const std::vector<peers::outgoing_message>& messages);

private:
    void send(const std::vector<std::byte>& bytes, const std::vector<base::endpoint>& to);

    net::udp_socket socket_;
    peers::fleet_exchange exchange_;
    edge_metrics& metrics_;
    std::vector<net::packet> buffers_;
    std::vector<peers::relayed_syn> relayed_;
    log_limiter refused_{1, 10};
};

} // namespace galenabay::edge
