#pragma once

#include "address_block.hpp"
#include "soak_results.hpp"
#include "store_stub.hpp"
#include "wire_packet.hpp"

#include <galenabay/base/random.hpp>
#include <galenabay/net/packet.hpp>
#include <galenabay/net/udp_socket.hpp>

#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenabay::edge_soak
{

/// What services state of starting upstreams where the soak checks their rate.
constexpr double starting_time_s = 4;
constexpr double starting_rate_per_s = 1;

/// One incarnation of an upstream. It answers callers directly and keeps its flows in
/// memory.
struct upstream
{
    /// State of one flow at this upstream.
    struct held_flow
    {
        /// Sequence number of the next packet to the caller.
        std::uint32_t sequence = 0;
        /// Sequence number of the caller's next request.
        std::uint32_t expected = 0;
        std::uint32_t token = 0;
        bool open = false;
        bool closed = false;
    };

    std::string id;
    std::uint64_t number = 0;
    /// Start time in the store; larger for each later incarnation.
    /// Number of registrations that this incarnation has sent.
    std::uint64_t sequence = 0;
    std::uint64_t born = 0;
    std::string service;
    std::string data_centre;
    base::endpoint address;
    bool draining = false;
    bool alive = true;
    /// Share of the callers' requests that it drops.
    double lost_share = 0;
    /// Seconds of the run until which it is starting.
    double starting_until = 0;
    /// Seconds of the run since which hosts could read that it drains.
    double draining_since = 0;
    std::unordered_map<steer::flow_key, held_flow> flows;
};

/// Simulates all upstreams and owns their sockets. Use it from one thread.
class upstream_fleet
{
public:
    upstream_fleet(store_stub& store, soak_results& results, address_block block, std::uint16_t caller_port,
                   std::uint64_t seed);

    /// Upstreams that start during the run register that they are starting.
    void set_starting() { registers_starting_ = true; }
    /// Starts an upstream of a data centre on a new address; returns its index.
    std::size_t start(const std::string& service, const std::string& data_centre);
    /// Stops an upstream; its registration stays until `unregister` removes it.
    void crash(std::size_t index);
    /// Restarts a crashed upstream with the same id and address and a later `born`.
    /// Writes the registrations of all live upstreams, as they do after a restore of the store.
    void register_again();
    /// Removes the registrations of upstreams that do not run: their leases have expired.
    void unregister_dead();
    void restart(std::size_t index);
    /// Replaces an upstream by a new one of another service at the same address.
    void replace(std::size_t index, const std::string& service);
    /// Marks an upstream as draining in the store.
    void drain(std::size_t index, double now);
    /// Drops a share of the callers' requests, while connections to the upstream still work.
    void set_lost_share(std::size_t index, double share) { upstreams_[index]->lost_share = share; }
    /// Removes the upstream from the store.
    void unregister(std::size_t index);

    /// Calls `opened` for each SYN that opens a flow, or repeats one that does, with the address of the host that sent
    /// it and the seconds of the run.
    using open_observer =
        std::function<void(const upstream&, const wire_packet&, const base::endpoint& from, double now)>;
    void on_open(open_observer opened) { observers_.push_back(std::move(opened)); }
    /// Handles the received datagrams; `now` is in seconds of the run.
    void receive(double now);

    const upstream& at(std::size_t index) const { return *upstreams_[index]; }
    std::size_t size() const { return upstreams_.size(); }
    /// Returns true if the incarnation is alive and has the flow open.
    bool holds(std::size_t index, const steer::flow_key& flow) const;
    /// Returns the live upstream that has the flow open; `size()` if there is none.
    std::size_t find_holder(const steer::flow_key& flow) const;

private:
    void write(upstream& entry);
    /// Begins the time in which an upstream is starting.
    void begin_starting(upstream& entry) const;
    /// Registers again the upstreams that are no longer starting.
    void end_starting();
    /// Postpones the time since which hosts can know that an upstream drains, while the store fails or has lost the
    /// registration. It stays as it is once hosts had enough time to read the registration.
    void postpone_draining();
    void handle(std::size_t socket, std::span<const unsigned char> bytes, const base::endpoint& from, double now);
    void serve(upstream& entry, const wire_packet& packet, double now);
    void open(upstream& entry, const wire_packet& packet, const base::endpoint& from, double now);
    void reply(const upstream& entry, const wire_packet& to, std::uint8_t flags, const upstream::held_flow& flow,
               std::optional<std::uint64_t> request);
    /// Gives an upstream a number and a `born` time, and registers it.
    void register_new(std::unique_ptr<upstream> entry);
    /// Returns the index of an upstream's socket. Addresses are assigned in this order.
    std::size_t socket_of(const upstream& entry) const;
    /// Returns the live upstream at a socket; `size()` if there is none.
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
    std::vector<open_observer> observers_;
    std::vector<net::packet> buffers_;
    bool registers_starting_ = false;
    /// Seconds of the run at the last call of `receive`.
    double now_ = 0;
    std::uint64_t next_number_ = 0x10000000;
    std::uint64_t next_born_ = 1'700'000'000'000;
};

} // namespace galenabay::edge_soak
