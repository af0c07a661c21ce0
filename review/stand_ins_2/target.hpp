#pragma once

#include "packet.hpp"
#include "record.hpp"
#include "store.hpp"

#include <functional>
#include <map>
#include <string>

namespace review
{

/// Stand-in of a target: it holds its flows in memory, answers each request at once, and registers itself in the store
/// each heartbeat interval. Use it from one thread.
class target
{
public:
    struct identity
    {
        /// Its hexadecimal digits are `number`.
        std::string id;
        std::uint64_t number = 0;
        /// Unix milliseconds of the start.
        std::uint64_t born = 0;
        std::string service;
        std::string zone;
        endpoint address;
    };

    /// The packet with which a target took a flow: the first one after the handshake.
    struct opening
    {
        flow_key flow;
        /// The host that sent it on.
        endpoint from;
    };

    /// `client_port`: the port at which clients receive packets.
    target(identity self, std::uint16_t client_port, store& registry, record& out)
        : self_{std::move(self)}, client_port_{client_port}, registry_{registry}, out_{out},
          packets_{open_datagram_socket(self_.address)}, health_{open_listener(self_.address)}
    {
        heartbeat();
    }

    const identity& self() const { return self_; }
    bool is_draining() const { return is_draining_; }
    /// Calls `opened` with each flow that opens here.
    void on_open(std::function<void(const target&, const opening&)> opened) { opened_ = std::move(opened); }
    bool holds(const flow_key& flow) const
    {
        const auto known = flows_.find(flow);
        return known != flows_.end() && known->second.open && !known->second.closed;
    }
    std::size_t run_count() const { return runs_; }

    /// Reports that it is leaving. Returns the time at which the store accepted that.
    double drain()
    {
        is_draining_ = true;
        const auto accepted = write();
        out_.line("target " + self_.id + " drains; accepted by the store");
        return accepted;
    }

    /// Handles what has arrived.
    void run()
    {
        if (now_ms() >= next_heartbeat_)
        {
            heartbeat();
        }
        for (int connection = 0;
             (connection = ::accept4(health_.get(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0;)
        {
            // Hosts only connect: nothing is to be answered.
            ::close(connection);
        }
        receive_datagrams(packets_, [this](auto bytes, const endpoint& from) { on_datagram(bytes, from); });
    }

private:
    struct held_flow
    {
        std::uint32_t own_sequence = 0;
        std::uint32_t expected = 0;
        std::uint32_t echo = 0;
        bool open = false;
        bool closed = false;
    };
    static constexpr double heartbeat_ms = 1'200;

    void heartbeat()
    {
        next_heartbeat_ = now_ms() + heartbeat_ms;
        write();
    }
    double write()
    {
        // As on the platform, an entry in which only `sequence` differs stays as it is.
        if (is_draining_ != written_draining_ || sequence_ == 0)
        {
            ++sequence_;
            written_draining_ = is_draining_;
        }
        return registry_.put("servers", self_.id,
                             R"({"service":")" + self_.service + R"(","address":")" + self_.address.text() +
                                 R"(","zone":")" + self_.zone + R"(","version":"v1","max-concurrency":3,"state":")" +
                                 (is_draining_ ? "draining" : "ready") + R"(","warmup-left-ms":0,"sequence":)" +
                                 std::to_string(sequence_) + R"(,"born":)" + std::to_string(self_.born) + "}");
    }

    void on_datagram(std::span<const unsigned char> bytes, const endpoint& from)
    {
        constexpr std::size_t number_size = 8;
        if (bytes.size() < number_size)
        {
            return;
        }
        const auto number = packet::read(bytes, 0, number_size);
        const auto got = packet::decode(bytes.subspan(number_size));
        if (!got || (number != self_.number && number != 0))
        {
            // The datagram is for another target.
            return;
        }
        if (!got->is_genuine())
        {
            out_.line("target " + self_.id + ": a packet that its sender did not write so");
            return;
        }
        const flow_key flow{got->source, got->target};
        got->has(flag_syn) ? on_syn(*got, flow) : on_packet(*got, flow, from);
    }

    void on_syn(const packet& got, const flow_key& flow)
    {
        auto& known = flows_[flow];
        if (known.own_sequence == 0)
        {
            known.own_sequence = next_sequence_ += 100'003;
            known.expected = got.sequence + 1;
        }
        known.echo = got.echo;
        reply(got, known, flag_syn | flag_ack, known.own_sequence, std::nullopt);
    }

    void on_packet(const packet& got, const flow_key& flow, const endpoint& from)
    {
        const auto found = flows_.find(flow);
        if (found == flows_.end())
        {
            out_.line("target " + self_.id + ": a packet of a flow that it does not hold, client " +
                      flow.client.text() + ", from host " + from.address_text() + "; it sends an RST");
            held_flow none;
            none.echo = got.echo;
            reply(got, none, flag_rst, got.acknowledged, std::nullopt);
            return;
        }
        auto& known = found->second;
        known.echo = got.echo;
        if (!known.open && got.acknowledged == known.own_sequence + 1)
        {
            known.open = true;
            ++known.own_sequence;
            if (opened_)
            {
                opened_(*this, {flow, from});
            }
        }
        if (!known.open || got.has(flag_rst))
        {
            known.closed = known.closed || got.has(flag_rst);
            return;
        }
        if (got.has(flag_fin))
        {
            known.closed = true;
            reply(got, known, flag_fin | flag_ack, known.own_sequence, std::nullopt);
            return;
        }
        if (!got.request || known.closed)
        {
            return;
        }
        if (got.sequence == known.expected)
        {
            known.expected += got.data_size();
            ++runs_;
            out_.line("target " + self_.id + " runs request " + std::to_string(*got.request));
            reply(got, known, flag_ack, known.own_sequence, got.request);
            known.own_sequence += got.data_size();
        }
        else
        {
            // Its answer was lost.
            reply(got, known, flag_ack, known.own_sequence - got.data_size(), got.request);
        }
    }

    void reply(const packet& to, const held_flow& flow, std::uint8_t flags, std::uint32_t sequence,
               std::optional<std::uint64_t> request)
    {
        packet made;
        made.source = to.target;
        made.target = to.source;
        made.echo = flow.echo;
        made.flags = flags;
        made.sequence = sequence;
        made.acknowledged = flow.expected;
        made.request = request;
        send_datagram(packets_, made.encode(), {to.source.address, client_port_});
    }

    identity self_;
    std::uint16_t client_port_;
    store& registry_;
    record& out_;
    descriptor packets_;
    descriptor health_;
    std::map<flow_key, held_flow> flows_;
    std::function<void(const target&, const opening&)> opened_;
    std::uint32_t next_sequence_ = 1'000;
    std::uint64_t sequence_ = 0;
    std::size_t runs_ = 0;
    double next_heartbeat_ = 0;
    bool is_draining_ = false;
    bool written_draining_ = false;
};

} // namespace review
