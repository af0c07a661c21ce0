#include "caller_fleet.hpp"

#include <galenabay/base/hash.hpp>
#include <galenabay/base/invariant.hpp>

#include <algorithm>
#include <array>

namespace galenabay::edge_soak
{

namespace
{

constexpr std::uint32_t service_address = 0xc6120001; // 198.18.0.1
constexpr std::uint16_t feed_port = 8443;
constexpr std::uint16_t vault_port = 8080;
constexpr std::uint16_t first_port = 1024;
constexpr std::uint32_t max_syn_retransmissions = 2;
constexpr double pause_between_requests_s = 0.15;

} // namespace

caller_fleet::caller_fleet(std::size_t callers, std::size_t brief, address_block block, std::uint16_t port,
                           upstream_fleet& upstreams, soak_results& results, rotation hosts, std::uint64_t seed)
    : block_{block}, upstreams_{upstreams}, results_{results}, hosts_{std::move(hosts)}, random_{seed},
      callers_(callers), buffers_(net::batch_size)
{
    for (std::size_t i = 0; i < callers; ++i)
    {
        auto& client = callers_[i];
        client.address = block_.callers() + static_cast<std::uint32_t>(i);
        client.source_port = first_port;
        client.service_port = i % 4 == 0 ? vault_port : feed_port;
        client.is_brief = i + brief >= callers;
        client.next_send = random_.unit();
        auto socket = net::udp_socket::bind(base::endpoint::make_v4(client.address, port));
        GALENABAY_INVARIANT(socket.has_value());
        sockets_.push_back(std::move(socket.value()));
    }
}

steer::flow_key caller_fleet::flow_of(const caller& client) const
{
    return {.caller_address = client.address,
            .service_address = service_address,
            .caller_port = client.source_port,
            .service_port = client.service_port};
}

void caller_fleet::run(double now)
{
    in_rotation_ = hosts_();
    std::array<net::packet*, net::batch_size> batch{};
    for (std::size_t i = 0; i < batch.size(); ++i)
    {
        batch[i] = &buffers_[i];
    }
    for (const auto& socket : sockets_)
    {
        const auto got = net::receive_batch(socket.descriptor(), batch);
        for (std::size_t i = 0; i < got.received; ++i)
        {
            const auto payload = batch[i]->payload();
            const auto packet =
                wire_packet::decode({reinterpret_cast<const unsigned char*>(payload.data()), payload.size()});
            if (packet)
            {
                on_packet(*packet, now);
            }
        }
    }
    for (auto& client : callers_)
    {
        send_due(client, now);
    }
}

void caller_fleet::open_flow(caller& client, double now)
{
    ++client.source_port;
    ++results_.flows;
    client.state = phase::syn_sent;
    client.token = 0;
    client.sequence = static_cast<std::uint32_t>(random_.below(1U << 30U));
    client.acknowledged = 0;
    client.retransmissions = 0;
    client.opened_at = now;
    client.lifetime = client.is_brief ? 0.5 : 5 + 25 * random_.unit();
    send(client, flag_syn, false);
    client.next_send = now + initial_retransmit_s;
}

void caller_fleet::send_request(caller& client, double now)
{
    client.request = ++next_request_;
    client.request_sent_at = now;
    client.retransmissions = 0;
    client.waiting = true;
    ++results_.asked;
    send(client, flag_ack, true);
    client.next_send = now + initial_retransmit_s;
}

void caller_fleet::end_flow(caller& client, double now)
{
    results_.failed += client.waiting ? 1 : 0;
    client.waiting = false;
    client.state = phase::idle;
    client.next_send = now + pause_between_requests_s;
}

void caller_fleet::send_due(caller& client, double now)
{
    if (now < client.next_send)
    {
        return;
    }
    if (client.state == phase::idle)
    {
        open_flow(client, now);
    }
    else if (client.state == phase::syn_sent)
    {
        if (++client.retransmissions > max_syn_retransmissions)
        {
            end_flow(client, now);
            return;
        }
        client.acknowledged = client.retransmissions;
        send(client, flag_syn, false);
        client.next_send = now + (client.retransmissions == 1 ? 2 : 4) * initial_retransmit_s;
    }
    else if (!client.waiting)
    {
        if (now - client.opened_at > client.lifetime)
        {
            send(client, flag_fin | flag_ack, false);
            end_flow(client, now);
            return;
        }
        send_request(client, now);
    }
    else if (now - client.request_sent_at > request_timeout_s)
    {
        send(client, flag_rst, false);
        end_flow(client, now);
    }
    else
    {
        ++client.retransmissions;
        send(client, flag_ack, true);
        client.next_send =
            now + std::min(max_retransmit_s, initial_retransmit_s * static_cast<double>(1U << client.retransmissions));
    }
}

void caller_fleet::send(const caller& client, std::uint8_t flags, bool with_request)
{
    if (in_rotation_.empty())
    {
        return;
    }
    const wire_packet packet{.source = client.address,
                             .target = service_address,
                             .source_port = client.source_port,
                             .target_port = client.service_port,
                             .token = client.token,
                             .flags = flags,
                             .checksum = wire_packet::endpoint_checksum,
                             .sequence = client.sequence,
                             .acknowledged = client.acknowledged,
                             .request = with_request ? std::optional{client.request} : std::nullopt};
    const auto hash = base::mix((std::uint64_t{client.address} << 32U) | client.source_port, client.service_port);
    send_packet(sockets_[client.address - block_.callers()], packet, in_rotation_[hash % in_rotation_.size()]);
}

void caller_fleet::on_packet(const wire_packet& packet, double now)
{
    const auto index = packet.target - block_.callers();
    if (index >= callers_.size() || packet.target_port != callers_[index].source_port)
    {
        return;
    }
    auto& client = callers_[index];
    if (packet.has(flag_rst))
    {
        on_reset(client, packet, now);
        return;
    }
    if (packet.has(flag_syn))
    {
        if (client.state != phase::syn_sent)
        {
            return;
        }
        client.state = phase::open;
        client.token = packet.token;
        ++client.sequence;
        client.acknowledged = packet.sequence + 1;
        send(client, flag_ack, false);
        client.next_send = now;
        return;
    }
    client.token = packet.token;
    if (packet.request && client.waiting && *packet.request == client.request)
    {
        client.waiting = false;
        ++results_.answered;
        client.sequence += packet.size();
        client.acknowledged = packet.sequence + packet.size();
        send(client, flag_ack, false);
        client.next_send = now + pause_between_requests_s * (0.5 + random_.unit());
    }
    else if (packet.request && *packet.request > client.request)
    {
        results_.violation("answer_of_another", now, "request=" + std::to_string(*packet.request));
    }
}

void caller_fleet::on_reset(caller& client, const wire_packet& packet, double now)
{
    const bool by_host = packet.checksum == 0;
    results_.resets += by_host ? 1 : 0;
    if (by_host && client.state == phase::open && upstreams_.find_holder(flow_of(client)) != upstreams_.size())
    {
        results_.violation("reset_of_live_flow", now,
                           "caller=" + base::endpoint::make_v4(client.address, client.source_port).to_string() +
                               " upstream=" + upstreams_.at(upstreams_.find_holder(flow_of(client))).id);
    }
    end_flow(client, now);
}

} // namespace galenabay::edge_soak
