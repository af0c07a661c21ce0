#pragma once

#include <galenabay/peers/fleet_exchange.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace galenabay::peers::test
{

using namespace std::chrono_literals;

/// Many hosts' exchanges in virtual time, joined by a network that delivers each datagram
/// after one step. Counts bytes as they would be on the wire.
class virtual_fleet
{
public:
    struct host
    {
        std::string name;
        std::string data_centre;
        base::endpoint address;
        std::unique_ptr<fleet_exchange> exchange;
        host_status own;
        bool running = true;
        /// The process does not run; its datagrams wait.
        bool frozen = false;
        /// The store answers its calls.
        bool is_served = true;
        /// The store is silent towards the host: its waiting watch does not show that it is not served.
        bool is_silent = false;
        /// Checks while it does not watch the store.
        std::uint64_t store_checks = 0;
        std::uint64_t starts = 0;
        std::uint64_t bytes_sent = 0;
        std::uint64_t bytes_received = 0;
        std::uint64_t remote_bytes = 0;
        std::vector<upstream_changes> changes;
        std::vector<std::pair<message, base::endpoint>> waiting;
    };

    /// The first host of each of the first three data centres is a seed, as on the platform.
    virtual_fleet(std::size_t data_centres, std::size_t hosts_each, exchange_options options = {}) : options_{options}
    {
        for (std::size_t centre = 0; centre < data_centres; ++centre)
        {
            for (std::size_t i = 0; i < hosts_each; ++i)
            {
                add_host(centre, i);
            }
        }
        for (auto& one : hosts_)
        {
            start(one);
        }
    }

    host& add(std::size_t centre)
    {
        add_host(centre, 10'000 + hosts_.size());
        start(hosts_.back());
        return hosts_.back();
    }

    /// Starts the host's process, which knows nothing of before.
    void start(host& one)
    {
        ++one.starts;
        one.running = true;
        one.frozen = false;
        one.waiting.clear();
        one.exchange = std::make_unique<fleet_exchange>(
            fleet_exchange::identity{one.name, one.data_centre, 1'000 * one.starts, one.address}, seeds_, options_,
            base::mix(one.address.v4(), one.starts));
    }

    void run(base::duration time)
    {
        for (const auto end = now_ + time; now_ < end; now_ += step)
        {
            deliver();
            for (auto& one : hosts_)
            {
                tick(one);
            }
        }
    }

    std::vector<host>& hosts() { return hosts_; }
    base::time_point now() const { return now_; }
    /// Datagrams for which it returns true are lost.
    std::function<bool(const host& from, const host& to)> is_lost = [](const host&, const host&) { return false; };

    std::vector<host*> collectors(const std::string& data_centre)
    {
        std::vector<host*> found;
        for (auto& one : hosts_)
        {
            if (one.running && one.data_centre == data_centre && one.exchange->collects())
            {
                found.push_back(&one);
            }
        }
        return found;
    }

    /// Called before each check of the store.
    std::function<void(host&)> on_store_check = [](host&) {};

    void send(host& from, const std::vector<outgoing_message>& messages)
    {
        for (const auto& one : messages)
        {
            const auto size = counts_bytes ? encode(one.content).size() : 0;
            largest_datagram = std::max(largest_datagram, size);
            for (const auto& to : one.to)
            {
                from.bytes_sent += size;
                queue_.push_back({.from = from.address, .to = to, .content = one.content, .size = size});
            }
        }
    }

    /// Encodes each message to count its bytes, which takes most of the time of a test.
    bool counts_bytes = false;
    std::size_t largest_datagram = 0;

private:
    static constexpr base::duration step = 100ms;

    struct datagram
    {
        base::endpoint from;
        base::endpoint to;
        message content;
        std::size_t size = 0;
    };

    void add_host(std::size_t centre, std::size_t index)
    {
        const auto number = static_cast<std::uint32_t>(hosts_.size());
        const auto address = base::endpoint::make_v4(0x0a000001U + number, 7720);
        const auto name = "edge-" + std::to_string(centre) + "-" + std::to_string(index);
        hosts_.push_back({.name = name,
                          .data_centre = "centre-" + std::to_string(centre),
                          .address = address,
                          .exchange = {},
                          .own = {},
                          .changes = {},
                          .waiting = {}});
        by_address_[address] = hosts_.size() - 1;
        constexpr std::size_t seed_count = 3;
        if (index == 0 && seeds_.size() < seed_count)
        {
            seeds_.push_back(address);
        }
    }

    void deliver()
    {
        for (auto& sent : std::exchange(queue_, {}))
        {
            const auto known = by_address_.find(sent.to);
            const auto& from = hosts_[by_address_.at(sent.from)];
            if (known == by_address_.end() || is_lost(from, hosts_[known->second]))
            {
                continue;
            }
            auto& to = hosts_[known->second];
            if (from.data_centre != to.data_centre)
            {
                to.remote_bytes += sent.size;
            }
            if (to.frozen)
            {
                to.waiting.emplace_back(sent.content, sent.from);
            }
            else if (to.running)
            {
                to.bytes_received += sent.size;
                receive(to, sent.content, sent.from);
            }
        }
    }

    void receive(host& to, const message& content, const base::endpoint& from)
    {
        auto effects = to.exchange->on_message(content, from, now_);
        if (effects.changes)
        {
            to.changes.push_back(*effects.changes);
        }
        if (effects.evacuations &&
            (!to.own.evacuations || effects.evacuations->revision > to.own.evacuations->revision))
        {
            to.own.evacuations = effects.evacuations;
        }
        send(to, effects.messages);
    }

    void tick(host& one)
    {
        if (!one.running || one.frozen)
        {
            return;
        }
        for (const auto& [content, from] : std::exchange(one.waiting, {}))
        {
            receive(one, content, from);
        }
        update_watch(one);
        if (one.exchange->is_due(now_))
        {
            send(one, one.exchange->on_tick(one.own, now_));
        }
    }

    void update_watch(host& one)
    {
        auto& exchange = *one.exchange;
        auto watches = exchange.update_watch(one.is_served || one.is_silent, now_);
        if (exchange.take_store_check(now_))
        {
            one.store_checks += watches ? 0 : 1;
            on_store_check(one);
            exchange.on_store_checked(one.is_served, now_);
            watches = exchange.update_watch(one.is_served || one.is_silent, now_);
        }
        one.own.store_lost = exchange.is_turned_away();
        if (watches != std::exchange(one.own.follows_store, watches))
        {
            send(one, exchange.on_urgent(one.own, now_));
        }
    }

    exchange_options options_;
    std::vector<host> hosts_;
    std::vector<base::endpoint> seeds_;
    std::map<base::endpoint, std::size_t> by_address_;
    std::vector<datagram> queue_;
    base::time_point now_{1h};
};

} // namespace galenabay::peers::test
