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
constexpr std::uint32_t max_opening_copies = 2;
constexpr double pause_between_requests_s = 0.15;

} // namespace

caller_fleet::caller_fleet(std::size_t callers, address_block block, std::uint16_t port, upstream_fleet& upstreams,
                           ledger& seen, rotation hosts, std::uint64_t seed)
    : block_{block}, upstreams_{upstreams}, seen_{seen}, hosts_{std::move(hosts)}, random_{seed}, callers_(callers),
      buffers_(net::batch_size)
{
    for (std::size_t i = 0; i < callers; ++i)
    {
        auto& self = callers_[i];
        self.address = block_.callers() + static_cast<std::uint32_t>(i);
        self.source_port = first_port;
        self.service_port = i % 4 == 0 ? vault_port : feed_port;
        self.next_send = random_.unit();
        auto socket = net::udp_socket::bind(base::endpoint::make_v4(self.address, port));
        GALENABAY_INVARIANT(socket.has_value());
        sockets_.push_back(std::move(socket.value()));
    }
}

steer::flow_key caller_fleet::flow_of(const caller& self) const
{
    return {.caller_address = self.address,
            .service_address = service_address,
            .caller_port = self.source_port,
            .service_port = self.service_port};
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
    for (auto& self : callers_)
    {
        send_due(self, now);
    }
}

void caller_fleet::begin(caller& self, double now)
{
    ++self.source_port;
    ++seen_.flows;
    self.state = phase::opening;
    self.token = 0;
    self.sequence = static_cast<std::uint32_t>(random_.below(1U << 30U));
    self.acknowledged = 0;
    self.copies = 0;
    self.opened_at = now;
    self.lifetime = 5 + 25 * random_.unit();
    send(self, flag_opening, false);
    self.next_send = now + first_repeat_s;
}

void caller_fleet::ask(caller& self, double now)
{
    self.request = ++next_request_;
    self.asked_at = now;
    self.copies = 0;
    self.waiting = true;
    ++seen_.asked;
    send(self, flag_acknowledging, true);
    self.next_send = now + first_repeat_s;
}

void caller_fleet::fail(caller& self, double now)
{
    seen_.failed += self.waiting ? 1 : 0;
    self.waiting = false;
    self.state = phase::idle;
    self.next_send = now + pause_between_requests_s;
}

void caller_fleet::send_due(caller& self, double now)
{
    if (now < self.next_send)
    {
        return;
    }
    if (self.state == phase::idle)
    {
        begin(self, now);
    }
    else if (self.state == phase::opening)
    {
        if (++self.copies > max_opening_copies)
        {
            fail(self, now);
            return;
        }
        self.acknowledged = self.copies;
        send(self, flag_opening, false);
        self.next_send = now + (self.copies == 1 ? 2 : 4) * first_repeat_s;
    }
    else if (!self.waiting)
    {
        if (now - self.opened_at > self.lifetime)
        {
            send(self, flag_closing | flag_acknowledging, false);
            fail(self, now);
            return;
        }
        ask(self, now);
    }
    else if (now - self.asked_at > deadline_s)
    {
        send(self, flag_aborting, false);
        fail(self, now);
    }
    else
    {
        ++self.copies;
        send(self, flag_acknowledging, true);
        self.next_send = now + std::min(longest_repeat_s, first_repeat_s * static_cast<double>(1U << self.copies));
    }
}

void caller_fleet::send(const caller& self, std::uint8_t flags, bool with_request)
{
    if (in_rotation_.empty())
    {
        return;
    }
    const wire_packet packet{.source = self.address,
                             .target = service_address,
                             .source_port = self.source_port,
                             .target_port = self.service_port,
                             .token = self.token,
                             .flags = flags,
                             .sum = wire_packet::end_sum,
                             .sequence = self.sequence,
                             .acknowledged = self.acknowledged,
                             .request = with_request ? std::optional{self.request} : std::nullopt};
    const auto hash = base::mix((std::uint64_t{self.address} << 32U) | self.source_port, self.service_port);
    send_packet(sockets_[self.address - block_.callers()], packet, in_rotation_[hash % in_rotation_.size()]);
}

void caller_fleet::on_packet(const wire_packet& packet, double now)
{
    const auto index = packet.target - block_.callers();
    if (index >= callers_.size() || packet.target_port != callers_[index].source_port)
    {
        return;
    }
    auto& self = callers_[index];
    if (packet.has(flag_aborting))
    {
        on_reset(self, packet, now);
        return;
    }
    if (packet.has(flag_opening))
    {
        if (self.state != phase::opening)
        {
            return;
        }
        self.state = phase::open;
        self.token = packet.token;
        ++self.sequence;
        self.acknowledged = packet.sequence + 1;
        send(self, flag_acknowledging, false);
        self.next_send = now;
        return;
    }
    self.token = packet.token;
    if (packet.request && self.waiting && *packet.request == self.request)
    {
        self.waiting = false;
        ++seen_.answered;
        self.sequence += packet.size();
        self.acknowledged = packet.sequence + packet.size();
        send(self, flag_acknowledging, false);
        self.next_send = now + pause_between_requests_s * (0.5 + random_.unit());
    }
    else if (packet.request && *packet.request > self.request)
    {
        seen_.violation("answer_of_another", now, "request=" + std::to_string(*packet.request));
    }
}

void caller_fleet::on_reset(caller& self, const wire_packet& packet, double now)
{
    const bool by_host = packet.sum == 0;
    seen_.resets += by_host ? 1 : 0;
    if (by_host && self.state == phase::open && upstreams_.holder_of(flow_of(self)) != upstreams_.size())
    {
        seen_.violation("reset_of_live_flow", now,
                        "caller=" + base::endpoint::make_v4(self.address, self.source_port).to_string() +
                            " upstream=" + upstreams_.at(upstreams_.holder_of(flow_of(self))).id);
    }
    fail(self, now);
}

} // namespace galenabay::edge_soak
