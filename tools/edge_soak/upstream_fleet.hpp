#pragma once

#include "address_block.hpp"
#include "soak_results.hpp"
#include "store_stub.hpp"
#include "wire_packet.hpp"

#include <galenabay/base/random.hpp>
#include <galenabay/net/packet.hpp>
#include <galenabay/net/udp_socket.hpp>

#include <Poco/Net/ServerSocket.h>

#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenabay::edge_soak
{

/// One start of an upstream. Answers callers directly; holds its flows in memory.
struct upstream
{
    struct held_flow
    {
        std::uint32_t sequence = 0;
        std::uint32_t expected = 0;
        std::uint32_t token = 0;
        bool open = false;
        bool closed = false;
    };

    std::string id;
    std::uint64_t number = 0;
    std::uint64_t born = 0;
    std::string service;
    std::string data_centre;
    base::endpoint address;
    bool draining = false;
    bool alive = true;
    /// Part of the callers' data that is lost on the way in.
    double lost_share = 0;
    /// Seconds of the run at which it began to drain or came up.
    double draining_since = 0;
    std::unordered_map<steer::flow_key, held_flow> flows;
};

/// All upstreams and their sockets. One thread.
class upstream_fleet
{
public:
    upstream_fleet(store_stub& store, soak_results& results, address_block block, std::uint16_t caller_port,
                   std::uint64_t seed);

    /// Starts an upstream on a free socket of a data centre; returns its index.
    std::size_t start(const std::string& service, const std::string& data_centre);
    /// Stops one silently; its registration stays until `expire` removes it.
    void crash(std::size_t index);
    /// Starts a crashed one again: same id, same address, later birth.
    void restart(std::size_t index);
    /// Its address is taken by a new upstream of another service.
    void replace(std::size_t index, const std::string& service);
    void drain(std::size_t index, double now);
    /// Loses part of the callers' data, while connections to it work.
    void set_lost_share(std::size_t index, double share) { upstreams_[index]->lost_share = share; }
    void unregister(std::size_t index);

    /// Handles the datagrams that have arrived.
    void receive(double now);

    const upstream& at(std::size_t index) const { return *upstreams_[index]; }
    std::size_t size() const { return upstreams_.size(); }
    /// True when the incarnation lives and holds the flow open.
    bool holds(std::size_t index, const steer::flow_key& flow) const;
    /// The live upstream that holds the flow open; `size()` when none does.
    std::size_t find_holder(const steer::flow_key& flow) const;

private:
    void write(const upstream& entry);
    void handle(std::size_t socket, std::span<const unsigned char> bytes, double now);
    void serve(upstream& entry, const wire_packet& packet, double now);
    void open(upstream& entry, const wire_packet& packet, double now);
    void reply(const upstream& entry, const wire_packet& to, std::uint8_t flags, const upstream::held_flow& flow,
               std::optional<std::uint64_t> request);
    /// Gives an upstream a number and a time of birth, and registers it.
    void register_new(std::unique_ptr<upstream> entry);
    /// Index of an upstream's socket: addresses are handed out in the sockets' order.
    std::size_t socket_of(const upstream& entry) const;
    std::size_t find_live(std::size_t socket) const;
    /// Accepts connections for the sockets that have a live upstream, and for no others.
    void accept_connections();

    store_stub& store_;
    soak_results& results_;
    address_block block_;
    std::uint16_t caller_port_;
    base::random_source random_;
    std::vector<net::udp_socket> sockets_;
    std::vector<std::unique_ptr<Poco::Net::ServerSocket>> listeners_;
    std::vector<std::unique_ptr<upstream>> upstreams_;
    std::vector<net::packet> buffers_;
    std::uint64_t next_number_ = 0x10000000;
    std::uint64_t next_born_ = 1'700'000'000'000;
};

} // namespace galenabay::edge_soak
