#pragma once

#include "packet.hpp"
#include "store.hpp"

#include <deque>
#include <functional>
#include <map>
#include <thread>
#include <vector>

namespace review
{

/// What a target tells of itself and how it works.
struct target_options
{
    std::string id;
    std::string service;
    std::string zone;
    endpoint address;
    /// Port at which clients receive packets.
    std::uint16_t client_port = 0;
    std::size_t slots = 3;
    std::size_t queue = 12;
    /// Time that a request takes, by its path.
    std::function<double(const std::string&)> work_ms;
    std::size_t answer_bytes = 600;
};

/// Stand-in of a target: holds flows, runs requests in its slots, acknowledges every second
/// packet and each packet that it has already, retransmits answers, answers its health check,
/// and keeps its entry in the store.
class target
{
public:
    target(target_options options, store& platform, record& log)
        : options_{std::move(options)}, platform_{platform}, log_{log}, socket_{open_udp(options_.address)},
          listener_{open_listener(options_.address)}
    {
        number_ = std::stoull(options_.id.substr(options_.id.rfind('-') + 1), nullptr, 16);
        born_ = unix_ms();
        write_entry();
        worker_ = std::thread{[this] { run(); }};
        health_ = std::thread{[this] { serve_health(); }};
    }
    target(const target&) = delete;
    target& operator=(const target&) = delete;
    ~target()
    {
        stop_.store(true);
        worker_.join();
        health_.join();
        ::close(socket_);
        ::close(listener_);
    }

    /// Reports `draining`. Returns the time of the store's acknowledgement.
    double drain()
    {
        draining_.store(true);
        const auto acknowledged = write_entry();
        log_.line("target %s reports draining, acknowledged", options_.id.c_str());
        return acknowledged;
    }
    /// Stops answering, and forgets its flows.
    void crash()
    {
        alive_.store(false);
        log_.line("target %s ends", options_.id.c_str());
    }
    /// Leaves: ends, and its entry is removed.
    void leave()
    {
        crash();
        platform_.remove("servers", options_.id);
    }
    /// Starts again under the same id.
    void restart(long long born)
    {
        restart_.store(true);
        while (restart_.load())
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
        born_ = born;
        sequence_ = 0;
        draining_.store(false);
        write_entry();
        alive_.store(true);
        log_.line("target %s starts again, born %lld", options_.id.c_str(), born);
    }

    const target_options& options() const { return options_; }
    bool is_alive() const { return alive_.load(); }
    /// Returns true when the target holds the flow and has the end of its handshake.
    bool holds_open(const flow_key& key) const
    {
        const std::lock_guard lock{mutex_};
        const auto found = flows_.find(key);
        return alive_.load() && found != flows_.end() && found->second.open && !found->second.closed;
    }

    struct opened_flow
    {
        flow_key key;
        double at;
    };
    /// Flows of which the target has the end of the handshake, with the arrival of the SYN.
    std::vector<opened_flow> opened() const
    {
        const std::lock_guard lock{mutex_};
        return opened_;
    }
    std::size_t runs() const { return runs_.load(); }
    std::size_t forged() const { return forged_.load(); }

private:
    struct flow
    {
        std::uint32_t first_sequence = 0;
        std::uint32_t next_expected = 0;
        std::uint32_t next_sequence = 0;
        std::uint32_t acknowledged = 0;
        std::uint32_t echo = 0;
        double syn_at = 0;
        bool open = false;
        bool closed = false;
        int unacknowledged_packets = 0;
        std::vector<packet> unanswered;
        double resend_at = 0;
        double resend_after = 200;
        int resends = 0;
    };
    struct job
    {
        flow_key key;
        std::string request;
        double done_at;
    };

    double write_entry()
    {
        ++sequence_;
        return platform_.put("servers", options_.id,
                             "{\"service\":\"" + options_.service + "\",\"address\":\"" + text_of(options_.address) +
                                 "\",\"zone\":\"" + options_.zone +
                                 "\",\"version\":\"v1\",\"max-concurrency\":" + std::to_string(options_.slots) +
                                 ",\"state\":\"" + (draining_.load() ? "draining" : "ready") +
                                 "\",\"warmup-left-ms\":0,\"sequence\":" + std::to_string(sequence_) +
                                 ",\"born\":" + std::to_string(born_) + "}");
    }

    void serve_health()
    {
        while (!stop_.load())
        {
            if (!wait_readable(listener_, 20))
            {
                continue;
            }
            const int connection = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            std::string head;
            std::string body;
            if (connection >= 0 && alive_.load() && wait_readable(connection, 200) && read_http(connection, head, body))
            {
                send_all(connection, std::string{"HTTP/1.1 "} + (draining_.load() ? "503 Unavailable" : "200 OK") +
                                         "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            }
            ::close(connection);
        }
    }

    void run()
    {
        std::string bytes;
        while (!stop_.load())
        {
            wait_readable(socket_, 2);
            const std::lock_guard lock{mutex_};
            while (receive_datagram(socket_, bytes))
            {
                if (alive_.load())
                {
                    handle(bytes);
                }
            }
            if (restart_.load())
            {
                flows_.clear();
                running_.clear();
                waiting_.clear();
                restart_.store(false);
            }
            if (alive_.load())
            {
                finish_work();
                resend();
            }
        }
    }

    void handle(const std::string& bytes)
    {
        constexpr std::size_t number_size = 8;
        std::uint64_t number = 0;
        for (std::size_t i = 0; i < number_size && i < bytes.size(); ++i)
        {
            number = (number << 8U) | static_cast<unsigned char>(bytes[i]);
        }
        const auto read = bytes.size() > number_size ? packet::decode(bytes.substr(number_size)) : std::nullopt;
        if (!read || (number != 0 && number != number_))
        {
            return;
        }
        if (read->sum != read->expected_sum() || (read->has(flag_syn) && read->has(flag_ack)))
        {
            forged_.fetch_add(1);
            return;
        }
        const flow_key key{read->from, read->to};
        if (read->has(flag_syn))
        {
            open(key, *read);
            return;
        }
        const auto found = flows_.find(key);
        if (found == flows_.end())
        {
            if (!read->has(flag_rst))
            {
                reply(key, flag_rst, read->acknowledged, 0, read->echo, {});
            }
            return;
        }
        serve(key, found->second, *read);
    }

    void open(const flow_key& key, const packet& syn)
    {
        auto& held = flows_[key];
        if (held.first_sequence == 0)
        {
            held.first_sequence = ++next_first_sequence_ * 7919U;
            held.next_sequence = held.first_sequence + 1;
            held.acknowledged = held.next_sequence;
            held.next_expected = syn.sequence + 1;
            held.syn_at = now_ms();
        }
        held.echo = syn.echo;
        reply(key, flag_syn | flag_ack, held.first_sequence, held.next_expected, held.echo, {});
    }

    void serve(const flow_key& key, flow& held, const packet& read)
    {
        held.echo = read.echo;
        if (!held.open)
        {
            if (read.acknowledged != held.first_sequence + 1)
            {
                return;
            }
            held.open = true;
            opened_.push_back({key, held.syn_at});
        }
        if (read.has(flag_rst))
        {
            flows_.erase(key);
            return;
        }
        if (static_cast<std::int32_t>(read.acknowledged - held.acknowledged) > 0)
        {
            held.acknowledged = read.acknowledged;
            while (!held.unanswered.empty() &&
                   static_cast<std::int32_t>(held.unanswered.front().sequence + held.unanswered.front().length() -
                                             held.acknowledged) <= 0)
            {
                held.unanswered.erase(held.unanswered.begin());
            }
            held.resends = 0;
            held.resend_after = 200;
            held.resend_at = now_ms() + held.resend_after;
        }
        if (read.length() == 0)
        {
            return;
        }
        if (read.sequence != held.next_expected)
        {
            held.unacknowledged_packets = 0;
            reply(key, flag_ack, held.next_sequence, held.next_expected, held.echo, {});
            return;
        }
        held.next_expected += read.length();
        if (read.has(flag_fin))
        {
            held.closed = true;
            reply(key, flag_fin | flag_ack, held.next_sequence, held.next_expected, held.echo, {});
            return;
        }
        if (++held.unacknowledged_packets == 2)
        {
            held.unacknowledged_packets = 0;
            reply(key, flag_ack, held.next_sequence, held.next_expected, held.echo, {});
        }
        accept(key, read.data);
    }

    void accept(const flow_key& key, const std::string& request)
    {
        const auto id = header_of(request, "Request-Id");
        if (waiting_.size() >= options_.queue)
        {
            log_.line("target %s is full: request %s not run", options_.id.c_str(), id.c_str());
            answer(key, "HTTP/1.1 503 Busy\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        waiting_.push_back({key, request, 0});
        start_work();
    }

    void start_work()
    {
        while (!waiting_.empty() && running_.size() < options_.slots)
        {
            auto next = waiting_.front();
            waiting_.pop_front();
            const auto& request = next.request;
            const auto path_at = request.find(' ') + 1;
            const auto path = request.substr(path_at, request.find(' ', path_at) - path_at);
            next.done_at = now_ms() + options_.work_ms(path);
            log_.line("target %s runs %s of %s", options_.id.c_str(), header_of(request, "Request-Id").c_str(),
                      text_of(next.key.client).c_str());
            runs_.fetch_add(1);
            running_.push_back(next);
        }
    }

    void finish_work()
    {
        const auto now = now_ms();
        for (auto row = running_.begin(); row != running_.end();)
        {
            if (row->done_at > now)
            {
                ++row;
                continue;
            }
            const auto id = header_of(row->request, "Request-Id");
            answer(row->key, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: " + options_.id +
                                 "\r\nContent-Length: " + std::to_string(options_.answer_bytes) + "\r\n\r\n" +
                                 std::string(options_.answer_bytes, 'x'));
            row = running_.erase(row);
        }
        start_work();
    }

    void answer(const flow_key& key, const std::string& message)
    {
        constexpr std::size_t segment = 1200;
        const auto found = flows_.find(key);
        if (found == flows_.end())
        {
            return;
        }
        auto& held = found->second;
        held.unacknowledged_packets = 0;
        for (std::size_t at = 0; at < message.size(); at += segment)
        {
            const auto data = message.substr(at, segment);
            held.unanswered.push_back(reply(key, flag_ack, held.next_sequence, held.next_expected, held.echo, data));
            held.next_sequence += static_cast<std::uint32_t>(data.size());
        }
        held.resends = 0;
        held.resend_after = 200;
        held.resend_at = now_ms() + held.resend_after;
    }

    void resend()
    {
        constexpr int max_resends = 8;
        const auto now = now_ms();
        for (auto& [key, held] : flows_)
        {
            if (held.unanswered.empty() || now < held.resend_at || held.resends >= max_resends)
            {
                continue;
            }
            for (const auto& one : held.unanswered)
            {
                reply(key, one.flags, one.sequence, held.next_expected, held.echo, one.data);
            }
            ++held.resends;
            held.resend_after = std::min(held.resend_after * 2, 1'600.0);
            held.resend_at = now + held.resend_after;
        }
    }

    packet reply(const flow_key& key, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledged,
                 std::uint32_t echo, const std::string& data)
    {
        packet sent;
        sent.from = key.service;
        sent.to = key.client;
        sent.echo = echo;
        sent.flags = flags;
        sent.sequence = sequence;
        sent.acknowledged = acknowledged;
        sent.data = data;
        sent.sum = sent.expected_sum();
        send_datagram(socket_, sent.encode(), {key.client.address, options_.client_port});
        return sent;
    }

    target_options options_;
    store& platform_;
    record& log_;
    int socket_;
    int listener_;
    std::uint64_t number_ = 0;
    long long born_ = 0;
    int sequence_ = 0;
    std::uint32_t next_first_sequence_ = 1;
    std::atomic<bool> stop_{false};
    std::atomic<bool> alive_{true};
    std::atomic<bool> draining_{false};
    std::atomic<bool> restart_{false};
    std::atomic<std::size_t> runs_{0};
    std::atomic<std::size_t> forged_{0};
    mutable std::mutex mutex_;
    std::map<flow_key, flow> flows_;
    std::deque<job> waiting_;
    std::vector<job> running_;
    std::vector<opened_flow> opened_;
    std::thread worker_;
    std::thread health_;
};

} // namespace review
