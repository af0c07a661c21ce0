#include "../../src/edge/packet_worker.hpp"

#include <galenabay/base/steady_clock.hpp>

#include <CppUTest/TestHarness.h>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <variant>
#include <vector>

using namespace galenabay;
using namespace galenabay::edge;
using namespace std::chrono_literals;

TEST_GROUP(syn_relay)
{
    static constexpr std::uint32_t loopback = 0x7f000001;
    static constexpr std::uint32_t caller_address = 0x7f000002;
    static constexpr std::uint32_t service_address = 0x0a000001;
    static constexpr std::size_t flags_at = 18;

    static net::udp_socket bind(std::uint32_t address, std::uint16_t port = 0)
    {
        return net::udp_socket::bind(base::endpoint::make_v4(address, port)).value();
    }

    net::udp_socket other = bind(loopback);
    net::udp_socket router = bind(loopback);
    base::endpoint packets;
    base::endpoint peers_address;
    std::unique_ptr<shared_state> state;
    std::unique_ptr<edge_metrics> metrics;
    std::unique_ptr<packet_worker> worker;

    void setup() override
    {
        // The threads of the worker allocate memory, too, and the detector of leaks has no lock.
        MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
        state = std::make_unique<shared_state>(base::endpoint::make_v4(loopback, 1));
        metrics = std::make_unique<edge_metrics>();
        auto packet_socket = bind(loopback);
        auto peer_socket = bind(loopback);
        packets = packet_socket.local();
        peers_address = peer_socket.local();
        worker = std::make_unique<packet_worker>(
            std::move(packet_socket), std::move(peer_socket),
            packet_worker::identity{.name = "edge-1", .data_centre = "east", .started_us = 1, .address = peers_address},
            std::vector<base::endpoint>{},
            steer::steering_options{.data_centre = "east", .warm_ups = {.overshoot = 1.5, .slack = 5}},
            peers::exchange_options{}, 7, *state, *metrics);
        auto known = std::make_shared<peers::edge_state>();
        known->configuration = {
            .version = 1,
            .routes = {{.name = "feed", .address = service_address, .port = 80, .services = {{"feed", 1}}}},
            .idle_timeout = 15s,
            .limits = {{.service = "feed", .max_flows = 0, .warm_up_time = 20s, .warm_up_rate = 4}}};
        known->upstreams.revision = {.epoch = 1, .number = 2};
        known->upstreams.entries = {{.id = "i-1",
                                     .number = 1,
                                     .started_ms = 1'000,
                                     .service = "feed",
                                     .address = base::endpoint::make_v4(loopback, 9),
                                     .data_centre = "east",
                                     .slots = 1,
                                     .warm_up_left = 20s,
                                     .revision = {.epoch = 1, .number = 1}}};
        auto update = std::make_shared<store_update>();
        update->what = store_update::kind::peer_state;
        update->objects_of = adapter::object_kind::upstreams;
        update->state = known;
        update->received_at = base::steady_now();
        CHECK(worker->updates(adapter::object_kind::upstreams).push(update));
        worker->start();
    }
    void teardown() override
    {
        state->stop();
        worker.reset();
        state.reset();
        metrics.reset();
        MemoryLeakWarningPlugin::turnOnDefaultNotThreadSafeNewDeleteOverloads();
    }

    static std::vector<std::byte> syn(std::uint8_t port)
    {
        std::vector<std::byte> packet(31);
        const std::array<std::uint8_t, 14> start{0, 0, 127, 0, 0, 2, 10, 0, 0, 1, 0, port, 0, 80};
        for (std::size_t i = 0; i < start.size(); ++i)
        {
            packet[i] = std::byte{start[i]};
        }
        packet[flags_at] = std::byte{16};
        return packet;
    }
    static void send(const net::udp_socket& from, const base::endpoint& to, const std::vector<std::byte>& bytes)
    {
        net::packet datagram;
        datagram.peer = to;
        CHECK(datagram.assign(bytes));
        const std::array<net::packet*, 1> single{&datagram};
        LONGS_EQUAL(0, net::send_all(from.descriptor(), single));
    }
    static std::optional<std::vector<std::byte>> receive(const net::udp_socket& from)
    {
        net::packet datagram;
        const std::array<net::packet*, 1> single{&datagram};
        if (net::receive_batch(from.descriptor(), single).received == 0)
        {
            return std::nullopt;
        }
        const auto payload = datagram.payload();
        return std::vector<std::byte>(payload.begin(), payload.end());
    }
    /// Calls `step` until it returns true, for at most 3 s.
    static bool eventually(const std::function<bool()>& step)
    {
        for (int i = 0; i < 60; ++i)
        {
            if (step())
            {
                return true;
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }
};

// Failure: the datagram does not reach a host that may have a share, or does not contain the caller's packet.
TEST(syn_relay, a_syn_without_a_token_reaches_another_host_as_it_came)
{
    std::uint64_t sequence = 0;
    std::uint8_t port = 0;
    std::optional<peers::relayed_syn> relayed;
    CHECK(eventually(
        [&]
        {
            peers::host_status status;
            status.name = "edge-2";
            status.started_us = 5;
            status.sequence = ++sequence;
            status.data_centre = "east";
            send(other, peers_address, peers::encode(peers::message{status}));
            send(router, packets, syn(++port));
            while (const auto bytes = receive(other))
            {
                const auto message = peers::decode_message(*bytes);
                const auto* found = message ? std::get_if<peers::relayed_syn>(&message.value()) : nullptr;
                relayed = found != nullptr ? std::optional{*found} : relayed;
            }
            return relayed.has_value();
        }));
    const auto first_port = std::to_integer<std::uint8_t>(relayed->packet.at(11));
    CHECK(first_port > 0 && first_port <= port);
    CHECK(relayed->packet == syn(first_port));
    CHECK(relayed->receiver == steer::host_key("edge-2"));
    CHECK(relayed->service == steer::service_key("feed"));
    LONGS_EQUAL(2, relayed->passes_left);
    CHECK(metrics->to_text().find("galenabay_relayed_syns_total 0") == std::string::npos);
}

// Failure: a host that cannot open the flow of a relayed SYN leaves the caller without an answer.
TEST(syn_relay, the_last_host_refuses_to_the_caller)
{
    const auto caller = bind(caller_address, packets.port());
    std::uint8_t port = 0;
    std::optional<std::vector<std::byte>> answer;
    CHECK(eventually(
        [&]
        {
            const peers::relayed_syn relayed{.packet = syn(++port),
                                             .receiver = steer::host_key("edge-1"),
                                             .service = steer::service_key("feed"),
                                             .passes_left = 0};
            send(other, peers_address, peers::encode(peers::message{relayed}));
            answer = receive(caller);
            return answer.has_value();
        }));
    constexpr std::byte reset_flag{32};
    CHECK(answer->at(flags_at) == reset_flag);
    CHECK(metrics->to_text().find("galenabay_received_syns_total{result=\"not_opened\"} 0") == std::string::npos);
    // Bytes that are no SYN are counted and not steered.
    const auto before = metrics->malformed_packets.Value();
    send(other, peers_address,
         peers::encode(peers::message{
             peers::relayed_syn{.packet = std::vector<std::byte>(31), .receiver = steer::host_key("edge-1")}}));
    CHECK(eventually([&] { return metrics->malformed_packets.Value() > before; }));
}
