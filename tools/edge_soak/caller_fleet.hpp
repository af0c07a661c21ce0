#pragma once

#include "soak_results.hpp"
#include "upstream_fleet.hpp"
#include "wire_packet.hpp"

#include <galenabay/base/random.hpp>

#include <functional>
#include <vector>

namespace galenabay::edge_soak
{

/// Simulates callers, each of which sends one request after another on a long flow, and
/// the platform's routers, which send each packet to one of the hosts in rotation by a
/// hash of its flow. Use it from one thread.
class caller_fleet
{
public:
    /// Returns the hosts that the routers currently use.
    using rotation = std::function<std::vector<base::endpoint>()>;

    /// The last `brief` of the callers end each flow within half a second.
    caller_fleet(std::size_t callers, std::size_t brief, address_block block, std::uint16_t port,
                 upstream_fleet& upstreams, soak_results& results, rotation hosts, std::uint64_t seed);

    /// Handles received packets and sends the packets that are due; `now` is in seconds of
    /// the run.
    void run(double now);

private:
    enum class phase
    {
        idle,
        syn_sent,
        open,
    };

    struct caller
    {
        std::uint32_t address = 0;
        std::uint16_t source_port = 0;
        std::uint16_t service_port = 0;
        phase state = phase::idle;
        std::uint32_t token = 0;
        std::uint32_t sequence = 0;
        std::uint32_t acknowledged = 0;
        std::uint64_t request = 0;
        double request_sent_at = 0;
        double next_send = 0;
        double opened_at = 0;
        double lifetime = 0;
        std::uint32_t retransmissions = 0;
        bool waiting = false;
        bool is_brief = false;
    };

    static constexpr double request_timeout_s = 3.0;
    static constexpr double initial_retransmit_s = 0.2;
    static constexpr double max_retransmit_s = 1.6;

    void open_flow(caller& client, double now);
    void send_request(caller& client, double now);
    /// Ends the flow, also after a normal close; an open request counts as failed.
    void end_flow(caller& client, double now);
    void send(const caller& client, std::uint8_t flags, bool with_request);
    void on_packet(const wire_packet& packet, double now);
    void on_reset(caller& client, const wire_packet& packet, double now);
    void send_due(caller& client, double now);
    steer::flow_key flow_of(const caller& client) const;

    address_block block_;
    upstream_fleet& upstreams_;
    soak_results& results_;
    rotation hosts_;
    std::vector<base::endpoint> in_rotation_;
    base::random_source random_;
    std::vector<net::udp_socket> sockets_;
    std::vector<caller> callers_;
    std::vector<net::packet> buffers_;
    std::uint64_t next_request_ = 0;
};

} // namespace galenabay::edge_soak
