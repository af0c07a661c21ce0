#pragma once

#include "hosts.hpp"
#include "packet.hpp"

#include <deque>
#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace review
{

/// What a client saw of one flow.
struct flow_result
{
    flow_key key;
    std::string zone;
    double syn_at = 0;
    bool opened = false;
    /// The system reset the flow at this time; 0: it didn't.
    double reset_at = 0;
    bool reset_while_open = false;
    bool ended = false;
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t wrong = 0;
};

/// Stand-in of the clients of one zone: opens flows through the router, sends one request at a
/// time on each, retransmits, and records what it gets. All of its clients have one address.
class clients
{
public:
    clients(std::string zone, std::uint32_t address, hosts& system, record& log)
        : zone_{std::move(zone)}, address_{address}, system_{system}, log_{log},
          socket_{open_udp({address, hosts::packet_port})}, worker_{[this] { run(); }}
    {
    }
    clients(const clients&) = delete;
    clients& operator=(const clients&) = delete;
    ~clients()
    {
        stop_.store(true);
        worker_.join();
        ::close(socket_);
    }

    /// Opens a flow; `port` 0 takes the next free one. Returns its index.
    std::size_t open(const endpoint& service, std::uint16_t port = 0)
    {
        const std::lock_guard lock{mutex_};
        if (port == 0)
        {
            port = next_port_++;
        }
        auto& made = *flows_.emplace_back(std::make_unique<flow>());
        made.result.key = {{address_, port}, service};
        made.result.zone = zone_;
        made.result.syn_at = now_ms();
        made.first_sequence = 1'000'000U + static_cast<std::uint32_t>(flows_.size()) * 100'003U;
        made.next_sequence = made.first_sequence + 1;
        by_key_[made.result.key] = &made;
        send_syn(made, 0);
        return flows_.size() - 1;
    }

    /// Sends a request as soon as the flow is open; `close_after` closes it after the answer.
    void request(std::size_t index, const std::string& method, const std::string& path, std::size_t body_bytes,
                 bool close_after)
    {
        const std::lock_guard lock{mutex_};
        auto& one = *flows_[index];
        const auto id = address_text(address_) + "-" + std::to_string(++next_id_);
        one.requests.push_back({id, method + " " + path + " HTTP/1.1\r\nHost: service\r\nRequest-Id: " + id +
                                        "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
                                        std::string(body_bytes, 'b')});
        one.close_after = close_after;
        send_next(one);
    }

    std::vector<flow_result> results() const
    {
        const std::lock_guard lock{mutex_};
        std::vector<flow_result> all;
        for (const auto& one : flows_)
        {
            all.push_back(one->result);
        }
        return all;
    }

private:
    struct pending_request
    {
        std::string id;
        std::string message;
    };
    struct flow
    {
        flow_result result;
        std::uint32_t first_sequence = 0;
        std::uint32_t next_sequence = 0;
        std::uint32_t next_expected = 0;
        std::uint32_t echo = 0;
        int syn_copies = 0;
        std::deque<pending_request> requests;
        /// The request that waits for its answer.
        std::optional<pending_request> sent;
        std::optional<packet> unacknowledged;
        double resend_at = 0;
        double resend_after = 200;
        int packets_to_acknowledge = 0;
        std::string received;
        bool close_after = false;
    };

    void run()
    {
        std::string bytes;
        while (!stop_.load())
        {
            wait_readable(socket_, 2);
            const std::lock_guard lock{mutex_};
            while (receive_datagram(socket_, bytes))
            {
                if (const auto read = packet::decode(bytes); read)
                {
                    if (const auto found = by_key_.find({read->to, read->from}); found != by_key_.end())
                    {
                        handle(*found->second, *read);
                    }
                }
            }
            for (auto& one : flows_)
            {
                retransmit(*one);
            }
        }
    }

    void send(flow& one, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledged,
              const std::string& data, bool keep)
    {
        packet sent;
        sent.from = one.result.key.client;
        sent.to = one.result.key.service;
        sent.echo = (flags & flag_syn) != 0 ? 0 : one.echo;
        sent.flags = flags;
        sent.sequence = sequence;
        sent.acknowledged = acknowledged;
        sent.data = data;
        sent.sum = sent.expected_sum();
        if (keep)
        {
            one.unacknowledged = sent;
            one.resend_after = 200;
            one.resend_at = now_ms() + one.resend_after;
        }
        send_datagram(socket_, sent.encode(), system_.route(zone_, sent.from, sent.to));
    }

    void send_syn(flow& one, int copy)
    {
        send(one, flag_syn, one.first_sequence, static_cast<std::uint32_t>(copy), {}, false);
        one.syn_copies = copy + 1;
    }

    void send_next(flow& one)
    {
        if (!one.result.opened || one.result.ended || one.sent || one.requests.empty())
        {
            return;
        }
        one.sent = one.requests.front();
        one.requests.pop_front();
        one.received.clear();
        ++one.result.sent;
        log_.line("client %s sends %s", text_of(one.result.key.client).c_str(), one.sent->id.c_str());
        one.packets_to_acknowledge = 0;
        send(one, flag_ack, one.next_sequence, one.next_expected, one.sent->message, true);
        one.next_sequence += static_cast<std::uint32_t>(one.sent->message.size());
    }

    void retransmit(flow& one)
    {
        const auto now = now_ms();
        if (one.result.ended)
        {
            return;
        }
        if (!one.result.opened)
        {
            const auto waited = now - one.result.syn_at;
            if (waited >= 1'400)
            {
                one.result.ended = true;
            }
            else if ((one.syn_copies == 1 && waited >= 200) || (one.syn_copies == 2 && waited >= 600))
            {
                send_syn(one, one.syn_copies);
            }
            return;
        }
        if (one.unacknowledged && now >= one.resend_at)
        {
            auto again = *one.unacknowledged;
            again.echo = one.echo;
            again.acknowledged = one.next_expected;
            again.sum = again.expected_sum();
            send_datagram(socket_, again.encode(), system_.route(zone_, again.from, again.to));
            one.resend_after = std::min(one.resend_after * 2, 1'600.0);
            one.resend_at = now + one.resend_after;
        }
    }

    void handle(flow& one, const packet& read)
    {
        if (one.result.ended)
        {
            return;
        }
        if (read.has(flag_rst))
        {
            handle_reset(one, read);
            return;
        }
        if (read.sum != read.expected_sum())
        {
            ++one.result.wrong;
            return;
        }
        if (read.has(flag_syn))
        {
            if (!one.result.opened)
            {
                one.echo = read.echo;
                one.result.opened = true;
                one.next_expected = read.sequence + 1;
                send(one, flag_ack, one.next_sequence, one.next_expected, {}, false);
                send_next(one);
            }
            return;
        }
        one.echo = read.echo;
        if (one.unacknowledged && static_cast<std::int32_t>(read.acknowledged - one.unacknowledged->sequence -
                                                            one.unacknowledged->length()) >= 0)
        {
            one.unacknowledged.reset();
        }
        if (read.length() == 0)
        {
            return;
        }
        if (read.sequence != one.next_expected)
        {
            send(one, flag_ack, one.next_sequence, one.next_expected, {}, false);
            return;
        }
        one.next_expected += read.length();
        one.received += read.data;
        if (++one.packets_to_acknowledge == 2)
        {
            one.packets_to_acknowledge = 0;
            send(one, flag_ack, one.next_sequence, one.next_expected, {}, false);
        }
        take_answer(one);
    }

    void take_answer(flow& one)
    {
        const auto end = one.received.find("\r\n\r\n");
        if (end == std::string::npos ||
            one.received.size() <
                end + 4 + std::strtoul(header_of(one.received, "Content-Length").c_str(), nullptr, 10))
        {
            return;
        }
        const auto id = header_of(one.received, "Request-Id");
        if (!one.sent || one.sent->id != id)
        {
            ++one.result.wrong;
            log_.line("client %s gets a foreign answer %s", text_of(one.result.key.client).c_str(), id.c_str());
            return;
        }
        ++one.result.answered;
        log_.line("client %s is answered %s: %s", text_of(one.result.key.client).c_str(), id.c_str(),
                  one.received.substr(9, 3).c_str());
        one.sent.reset();
        one.received.clear();
        if (one.close_after && one.requests.empty())
        {
            send(one, flag_fin | flag_ack, one.next_sequence, one.next_expected, {}, false);
            one.result.ended = true;
            return;
        }
        send_next(one);
    }

    void handle_reset(flow& one, const packet& read)
    {
        constexpr std::int64_t window = 76'800;
        const auto distance = static_cast<std::int64_t>(static_cast<std::int32_t>(read.sequence - one.next_expected));
        const bool of_system = read.sum == 0;
        if (of_system && one.result.opened && (distance > window || distance < -window))
        {
            return;
        }
        one.result.ended = true;
        if (of_system)
        {
            one.result.reset_at = now_ms();
            one.result.reset_while_open = one.result.opened;
        }
        log_.line("client %s gets a reset of %s, flow %s, request %s", text_of(one.result.key.client).c_str(),
                  of_system ? "the system" : "a target", one.result.opened ? "open" : "not open",
                  one.sent ? one.sent->id.c_str() : "none");
    }

    std::string zone_;
    std::uint32_t address_;
    hosts& system_;
    record& log_;
    int socket_;
    std::atomic<bool> stop_{false};
    mutable std::mutex mutex_;
    std::vector<std::unique_ptr<flow>> flows_;
    std::map<flow_key, flow*> by_key_;
    std::uint16_t next_port_ = 20'000;
    std::uint64_t next_id_ = 0;
    std::thread worker_;
};

} // namespace review
