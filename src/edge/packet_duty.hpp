#pragma once

#include "edge_metrics.hpp"
#include "shared_state.hpp"
#include "steering_log.hpp"
#include "store_update.hpp"

#include <galenabay/net/packet.hpp>
#include <galenabay/net/udp_socket.hpp>
#include <galenabay/net/waker.hpp>
#include <galenabay/steer/steerer.hpp>

#include <array>
#include <cstdint>
#include <thread>
#include <vector>

namespace galenabay::edge
{

/// Receives, decides and sends packets on one thread, which owns the `steerer`.
///
/// One thread for the three steps: a host has a twentieth of a core, and handing a
/// packet from thread to thread would cost more than to decide it.
class packet_duty
{
public:
    /// `socket` receives the routers' datagrams; resets leave for `caller_port`.
    packet_duty(net::udp_socket socket, std::uint64_t seed, shared_state& state, edge_metrics& metrics);
    packet_duty(const packet_duty&) = delete;
    packet_duty& operator=(const packet_duty&) = delete;
    ~packet_duty();

    /// Starts the thread; call once the store threads can run.
    void start();

    /// Ring and waker of the thread that follows `kind`.
    update_ring& updates(adapter::object_kind kind)
    {
        return kind == adapter::object_kind::configuration ? configuration_updates_ : upstream_updates_;
    }
    net::waker& waker() noexcept { return waker_; }

private:
    static constexpr std::size_t ring_capacity = 64;

    void run();
    void wait();
    void receive(base::time_point now);
    /// True when the packet is to be sent.
    bool decide(net::packet& datagram, base::time_point now);
    void drain(update_ring& ring);
    void apply(const store_update& update);
    void apply_configuration(const store_update& update);
    void apply_upstreams(const store_update& update);
    void follow_up(const steer::steerer::outcome& learned, std::uint64_t revision, base::time_point now);
    void send_resets(const std::vector<steer::flow_reset>& resets, base::time_point now);
    void tick(base::time_point now);
    void send(std::span<net::packet* const> datagrams);

    net::udp_socket socket_;
    shared_state& state_;
    edge_metrics& metrics_;
    steer::steerer steerer_;
    steering_log log_;
    update_ring configuration_updates_{ring_capacity};
    update_ring upstream_updates_{ring_capacity};
    net::waker waker_;
    std::vector<net::packet> buffers_;
    base::time_point next_tick_{};
    base::time_point next_summary_{};
    std::thread thread_;
};

} // namespace galenabay::edge
