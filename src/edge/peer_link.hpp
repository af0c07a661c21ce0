#pragma once

#include "edge_metrics.hpp"

#include <galenabay/net/packet.hpp>
#include <galenabay/net/udp_socket.hpp>
#include <galenabay/peers/message_codec.hpp>
#include <galenabay/peers/peer_view.hpp>

#include <functional>
#include <string>
#include <vector>

namespace galenabay::edge
{

/// Sends this host's status and changes to the other hosts and receives theirs.
/// Belongs to the packet thread.
class peer_link
{
public:
    peer_link(net::udp_socket socket, peers::peer_view view, edge_metrics& metrics);

    int descriptor() const noexcept { return socket_.descriptor(); }
    const peers::peer_view& view() const noexcept { return view_; }

    /// As `peer_view::expire` and `peer_view::update_following`.
    std::vector<std::string> expire(base::time_point now) { return view_.expire(now); }
    bool update_following(base::time_point now) { return view_.update_following(now); }

    void on_listed(const std::string& name, const base::endpoint& address, base::time_point now);

    /// Reads what has arrived; passes changes on and returns true when a status did.
    bool receive(base::time_point now, const std::function<void(const peers::upstream_changes&)>& on_changes);

    /// True when the own data centre's hosts are due a status.
    bool is_status_due(base::time_point now) const { return now >= next_local_status_; }
    /// Sends a status to the hosts that are due one, or to all when it is urgent.
    void send_status(peers::host_status status, bool urgent, base::time_point now);

    /// Sends changes to all hosts, in datagrams of a bounded size.
    void send_changes(const peers::upstream_changes& changes);

private:
    void send(const std::vector<std::byte>& bytes, const std::vector<base::endpoint>& to);

    net::udp_socket socket_;
    peers::peer_view view_;
    edge_metrics& metrics_;
    std::vector<net::packet> buffers_;
    base::time_point next_local_status_{};
    base::time_point next_remote_status_{};
    std::uint64_t sequence_ = 0;
};

} // namespace galenabay::edge
