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
/// Owned by the packet thread.
class peer_link
{
public:
    peer_link(net::udp_socket socket, peers::peer_view view, edge_metrics& metrics);

    int descriptor() const noexcept { return socket_.descriptor(); }
    const peers::peer_view& view() const noexcept { return view_; }

    /// Removes hosts that were silent for long and returns those whose entries this host must
    /// remove from the store, as `peer_view::expire` does.
    std::vector<std::string> expire(base::time_point now) { return view_.expire(now); }
    /// Decides whether this host should watch the store, as `peer_view::update_following` does.
    bool update_following(base::time_point now) { return view_.update_following(now); }

    /// Records a listed host and makes the next status due now, so that the host gets one.
    void on_listed(const std::string& name, const base::endpoint& address, base::time_point now);

    /// Reads one batch of datagrams and calls `on_changes` with each set of changes. Returns
    /// true when a new status was among them.
    bool receive(base::time_point now, const std::function<void(const peers::upstream_changes&)>& on_changes);

    /// Returns true when a status to the hosts of this data centre is due.
    bool is_status_due(base::time_point now) const { return now >= next_local_status_; }
    /// Sends a status to the data centres whose interval has passed, or to all hosts when
    /// `urgent`.
    void send_status(peers::host_status status, bool urgent, base::time_point now);

    /// Sends changes to all hosts, split into datagrams of a bounded number of entries.
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
