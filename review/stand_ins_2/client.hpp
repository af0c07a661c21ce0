#pragma once

#include "hosts.hpp"
#include "packet.hpp"
#include "record.hpp"

#include <functional>
#include <map>
#include <string>

namespace review
{

/// Stand-in of a client: it opens flows from one address, sends requests on them, and sends lost packets again, through
/// the host that the routers choose. Use it from one thread.
class client
{
public:
    /// What became of a flow.
    enum class state
    {
        opening,
        open,
        /// Closed by the client, or by the target after an answer.
        closed,
        /// The client got no SYN+ACK in time, or an RST before one.
        refused,
        /// The client got an RST on the open flow.
        reset,
        /// A request was not answered before its deadline.
        timed_out,
    };
    struct flow
    {
        flow_key key;
        state at = state::opening;
        std::uint32_t echo = 0;
        std::uint32_t sequence = 0;
        std::uint32_t acknowledged = 0;
        double syn_sent = 0;
        double sent = 0;
        double next_send = 0;
        double timeout = 200;
        std::uint32_t copies = 0;
        std::uint64_t request = 0;
        double deadline = 0;
        std::size_t answered = 0;
        /// Time between two requests; 0 for one request a flow.
        double pause = 0;
        double next_request = 0;
        /// The RST on the open flow was one of the system's own, by its sum.
        bool reset_by_system = false;
    };

    client(std::uint32_t address, std::string zone, const hosts& routers, record& out)
        : address_{address}, zone_{std::move(zone)}, routers_{routers}, out_{out}, packets_{open_datagram_socket(
                                                                                       {address,
                                                                                        routers.ports().packets})}
    {
    }

    /// Opens a flow to a service and sends its first request as soon as it is open.
    void open(const endpoint& service, double pause)
    {
        const flow_key key{{address_, next_port_++}, service};
        flow made;
        made.key = key;
        made.sequence = 5'000 + next_port_ * 7U;
        made.syn_sent = now_ms();
        made.next_send = made.syn_sent + 200;
        made.pause = pause;
        auto& known = flows_[key] = made;
        send(known, flag_syn, std::nullopt);
    }

    const std::map<flow_key, flow>& flows() const { return flows_; }
    /// Calls `ended` with each flow that was reset while it was open.
    void on_reset(std::function<void(const flow&)> ended) { on_reset_ = std::move(ended); }

    /// Handles what has arrived and what is due.
    void run()
    {
        receive_datagrams(packets_,
                          [this](auto bytes, const endpoint&)
                          {
                              if (const auto got = packet::decode(bytes))
                              {
                                  on_packet(*got);
                              }
                          });
        for (auto& [key, one] : flows_)
        {
            if (one.at == state::opening || one.at == state::open)
            {
                send_due(one);
            }
        }
    }

private:
    static constexpr double request_limit_ms = 2'500;

    void send(flow& one, std::uint8_t flags, std::optional<std::uint64_t> request)
    {
        const auto nodes = routers_.rotation(zone_);
        if (nodes.empty())
        {
            return;
        }
        packet made;
        made.source = one.key.client;
        made.target = one.key.service;
        made.echo = one.echo;
        made.flags = flags;
        made.sequence = one.sequence;
        made.acknowledged = (flags & flag_syn) != 0 ? one.copies : one.acknowledged;
        made.request = request;
        const auto hash = std::uint64_t{one.key.client.address} * 0x9e3779b97f4a7c15U +
                          std::uint64_t{one.key.client.port} * 0xc4ceb9fe1a85ec53U + one.key.service.port;
        send_datagram(packets_, made.encode(), routers_.packets(nodes[(hash >> 32U) % nodes.size()]));
    }

    void send_request(flow& one, double now)
    {
        one.request = (std::uint64_t{address_ & 0xffffU} << 32U) | ++requests_;
        one.sent = now;
        one.deadline = now + request_limit_ms;
        one.timeout = 200;
        one.next_send = now + one.timeout;
        out_.line("client " + one.key.client.text() + " sends request " + std::to_string(one.request));
        send(one, flag_ack, one.request);
    }

    void send_due(flow& one)
    {
        const auto now = now_ms();
        if (one.at == state::opening)
        {
            if (now - one.syn_sent >= 1'400)
            {
                one.at = state::refused;
            }
            else if (now >= one.next_send && one.copies < 2)
            {
                ++one.copies;
                one.next_send = one.syn_sent + (one.copies == 1 ? 600 : 1'400);
                send(one, flag_syn, std::nullopt);
            }
            return;
        }
        if (one.request == 0)
        {
            if (now >= one.next_request)
            {
                send_request(one, now);
            }
        }
        else if (now >= one.deadline)
        {
            out_.line("client " + one.key.client.text() + ": no answer to request " + std::to_string(one.request));
            one.at = state::timed_out;
        }
        else if (now >= one.next_send)
        {
            one.timeout = std::min(one.timeout * 2, 1'600.0);
            one.next_send = now + one.timeout;
            send(one, flag_ack, one.request);
        }
    }

    void on_packet(const packet& got)
    {
        const auto found = flows_.find({got.target, got.source});
        if (found == flows_.end())
        {
            return;
        }
        auto& one = found->second;
        const bool by_system = got.has(flag_rst) && got.sum == 0 && !got.request;
        if (!by_system && !got.is_genuine())
        {
            out_.line("client " + one.key.client.text() + ": a packet that its sender did not write so");
            return;
        }
        if (got.has(flag_rst))
        {
            on_rst(one, by_system);
            return;
        }
        if (one.at == state::opening && got.has(flag_syn))
        {
            one.at = state::open;
            one.echo = got.echo;
            ++one.sequence;
            one.acknowledged = got.sequence + 1;
            send_request(one, now_ms());
            return;
        }
        if (one.at != state::open || got.has(flag_syn))
        {
            return;
        }
        one.echo = got.echo;
        if (got.request && *got.request == one.request && got.sequence == one.acknowledged)
        {
            one.acknowledged += got.data_size();
            one.sequence += got.data_size();
            one.request = 0;
            ++one.answered;
            out_.line("client " + one.key.client.text() + " gets the answer to request " +
                      std::to_string(*got.request));
            one.next_request = now_ms() + one.pause;
            if (one.pause == 0)
            {
                one.at = state::closed;
                send(one, flag_fin | flag_ack, std::nullopt);
            }
            else
            {
                send(one, flag_ack, std::nullopt);
            }
        }
    }

    void on_rst(flow& one, bool by_system)
    {
        if (one.at == state::opening)
        {
            one.at = state::refused;
        }
        else if (one.at == state::open)
        {
            one.at = state::reset;
            one.reset_by_system = by_system;
            out_.line("client " + one.key.client.text() + " gets an RST on its open flow" +
                      (by_system ? " from the system" : " from a target"));
            if (on_reset_)
            {
                on_reset_(one);
            }
        }
    }

    std::uint32_t address_;
    std::string zone_;
    const hosts& routers_;
    record& out_;
    descriptor packets_;
    std::map<flow_key, flow> flows_;
    std::function<void(const flow&)> on_reset_;
    std::uint16_t next_port_ = 20'000;
    std::uint64_t requests_ = 0;
};

} // namespace review
