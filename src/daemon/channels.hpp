#pragma once

#include "upstream_allowlist.hpp"
#include <galenabay/net/packet.hpp>
#include <galenabay/net/wakeup_event.hpp>

#include <galenabay/base/ring.hpp>
#include <galenabay/config/accepted_revision.hpp>
#include <galenabay/flow/flow_record.hpp>
#include <galenabay/membership/host.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_set>
#include <variant>
#include <vector>

namespace galenabay::daemon
{

/// A revision was adopted. Sent from the control thread to the decide thread, like every `decide_event`.
struct revision_event
{
    std::shared_ptr<const config::accepted_revision> revision;
};
/// The hosts that take part in decisions; sent when they change.
struct hosts_event
{
    std::vector<membership::live_host> hosts;
};
/// All registered hosts, live or not, including this one; sent when the list changes.
struct listed_event
{
    std::vector<membership::listed_host> hosts;
};
/// Flow records received from a peer.
struct records_event
{
    std::vector<flow::flow_record> records;
};
/// The control thread has recovered from the pause with this number: it has received a peer's report since, has no
/// peers, or has stopped waiting for one.
struct resumed_event
{
    std::uint64_t pause = 0;
};
/// A planned stop has begun.
struct leave_event
{
};
using decide_event =
    std::variant<std::monostate, revision_event, hosts_event, listed_event, records_event, resumed_event, leave_event>;

/// Flow records to send to one peer. Sent from the decide thread to the control thread.
struct outgoing_records
{
    std::string host;
    std::vector<flow::flow_record> records;
};

/// A descriptor to start or to stop reading. Sent from the decide thread to the receive thread.
struct socket_change
{
    int descriptor = -1;
    base::endpoint service;
    bool open = false;
};

/// IP addresses (ports are ignored) with which this host exchanges no packets while a partition is simulated.
using blocked_addresses = std::unordered_set<std::string>;

/// New address rules for the send and receive threads. The decide thread sends the allowlist, the control thread the
/// blocked addresses.
using address_rules =
    std::variant<std::monostate, std::shared_ptr<const upstream_allowlist>, std::shared_ptr<const blocked_addresses>>;

/// The rings between the threads of one process and the wakeup events of their consumers. Each ring has one producer
/// and one consumer.
struct channels
{
    explicit channels(std::size_t ring_size)
        : receive_to_decide{ring_size}, decide_to_send{ring_size}, control_to_decide{control_ring_size},
          decide_to_control{control_ring_size}, decide_to_receive{control_ring_size},
          decide_to_send_rules{control_ring_size}, control_to_send_rules{control_ring_size}, control_to_receive_rules{
                                                                                                 control_ring_size}
    {
    }

    /// Capacity of the rings that carry no packets, in elements.
    static constexpr std::size_t control_ring_size = 1024;

    base::ring<net::packet*> receive_to_decide;
    base::ring<net::packet*> decide_to_send;
    base::ring<decide_event> control_to_decide;
    base::ring<outgoing_records> decide_to_control;
    base::ring<socket_change> decide_to_receive;
    base::ring<address_rules> decide_to_send_rules;
    base::ring<address_rules> control_to_send_rules;
    base::ring<address_rules> control_to_receive_rules;

    net::wakeup_event receive_wakeup;
    net::wakeup_event decide_wakeup;
    net::wakeup_event send_wakeup;
};

} // namespace galenabay::daemon
