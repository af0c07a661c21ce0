#pragma once

#include <galenabay/base/hash.hpp>
#include <galenabay/base/random.hpp>
#include <galenabay/config/accepted_revision.hpp>
#include <galenabay/flow/steering.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenabay::bench
{

struct fleet_settings
{
    std::size_t hosts = 9;
    std::size_t table_size = 4096;
    std::uint64_t seed = 1;
    /// Record budget of one host for all its peers.
    std::size_t bytes_per_second = 2600;
    base::duration heartbeat{500'000};
    base::duration peer_timeout{3'000'000};
    /// Percentages of record batches.
    std::uint64_t drop_percent = 0;
    std::uint64_t double_percent = 0;
    std::uint64_t delay_percent = 0;
    base::duration longest_delay{1'500'000};
};

/// What became of one packet.
struct delivery
{
    bool delivered = false;
    /// Dropped by a decision; otherwise an undelivered packet was lost.
    bool dropped = false;
    flow::drop_reason reason = flow::drop_reason::none;
    std::uint8_t hops = 0;
    std::size_t first_host = 0;
    std::size_t last_host = 0;
    base::endpoint upstream;
};

/// A handful of `steering` instances in virtual time with the exchange of
/// records between them, a spraying fabric, and host faults.
class flow_fleet
{
public:
    explicit flow_fleet(fleet_settings settings) : settings_{settings}, random_{settings.seed}
    {
        for (std::size_t i = 0; i < settings_.hosts; ++i)
        {
            hosts_.push_back(std::make_unique<node>(make_node(i)));
        }
    }

    base::time_point now() const noexcept { return now_; }
    std::size_t size() const noexcept { return hosts_.size(); }
    bool is_up(std::size_t host) const { return hosts_[host]->up; }
    /// Whether the process runs and has done so for a few seconds.
    bool is_awake(std::size_t host) const
    {
        return hosts_[host]->up && now_ > hosts_[host]->paused_until + base::duration{3'000'000};
    }
    /// Counts the processes that ran under this host's name.
    std::uint32_t life(std::size_t host) const { return hosts_[host]->life; }
    /// Some running host has had the revision or a newer one in force for `age`.
    bool is_known(std::uint64_t revision, base::duration age) const
    {
        for (std::size_t i = 0; i < hosts_.size(); ++i)
        {
            for (const auto& [number, time] : hosts_[i]->adopted)
            {
                if (number >= revision && is_awake(i) && now_ - time > age)
                {
                    return true;
                }
            }
        }
        return false;
    }
    flow::steering& at(std::size_t host) { return *hosts_[host]->logic; }
    base::random_source& random() noexcept { return random_; }
    std::uint64_t record_bytes(std::size_t host) const { return hosts_[host]->bytes; }

    /// Advances time in steps and runs ticks, exchanges and scheduled revisions.
    void advance(base::duration by)
    {
        const base::duration step{100'000};
        for (const auto end = now_ + by; now_ < end;)
        {
            now_ += std::min(step, end - now_);
            for (std::size_t i = 0; i < hosts_.size(); ++i)
            {
                run(i);
            }
            deliver_batches();
        }
    }

    /// Puts a revision in force at a host after a delay.
    void schedule(std::size_t host, const config::accepted_revision& revision, base::duration delay)
    {
        hosts_[host]->pending.emplace(now_ + delay, revision);
    }

    /// As `schedule`, for all hosts at random times up to `longest`; hosts that
    /// start later get it at once.
    void publish(const config::accepted_revision& revision, base::duration longest)
    {
        newest_ = revision;
        for (std::size_t i = 0; i < hosts_.size(); ++i)
        {
            const base::duration delay{
                static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(longest.count()) + 1))};
            schedule(i, revision, delay);
        }
    }

    /// Ends a host without warning.
    void kill(std::size_t host)
    {
        hosts_[host]->up = false;
        hosts_[host]->in_fabric = false;
    }

    /// Starts an empty host in place of one that is down.
    void start(std::size_t host)
    {
        const auto life = hosts_[host]->life;
        hosts_[host] = std::make_unique<node>(make_node(host));
        hosts_[host]->life = life + 1;
        hosts_[host]->ready_at = now_ + base::duration{1'500'000};
        hosts_[host]->in_fabric = false;
        for (const auto& [upstream, healthy] : reported_)
        {
            hosts_[host]->health.emplace(now_ + base::duration{1'000'000}, std::pair{upstream, healthy});
        }
        if (newest_)
        {
            hosts_[host]->logic->on_revision(*newest_, now_);
            hosts_[host]->adopted.emplace(newest_->number, now_);
        }
    }

    /// Ends a host as planned: it leaves the fabric, then stops.
    void leave(std::size_t host)
    {
        hosts_[host]->leaving = true;
        hosts_[host]->in_fabric = false;
        hosts_[host]->stops_at = now_ + base::duration{5'000'000};
    }

    /// Stops a host's process for a while; packets to it wait or get lost.
    void pause(std::size_t host, base::duration length) { hosts_[host]->paused_until = now_ + length; }

    /// Cuts hosts with different sides from each other; all 0: heals.
    void set_side(std::size_t host, int side) { hosts_[host]->side = side; }

    /// Reports an upstream's health to each host within `longest`.
    void report_health(config::upstream_id upstream, bool healthy, base::duration longest)
    {
        reported_[upstream] = healthy;
        for (auto& host : hosts_)
        {
            const auto delay = random_.below(static_cast<std::uint64_t>(longest.count()) + 1);
            host->health.emplace(now_ + base::duration{static_cast<std::int64_t>(delay)}, std::pair{upstream, healthy});
        }
    }

    /// Sends one packet to a random host of the fabric, on `side` if given.
    delivery send(const base::endpoint& caller, const base::endpoint& service, int side = -1)
    {
        std::vector<std::size_t> open;
        for (std::size_t i = 0; i < hosts_.size(); ++i)
        {
            if (hosts_[i]->up && hosts_[i]->in_fabric && (side < 0 || hosts_[i]->side == side))
            {
                open.push_back(i);
            }
        }
        return open.empty() ? delivery{} : send_to(open[random_.below(open.size())], caller, service);
    }

    delivery send_to(std::size_t first, const base::endpoint& caller, const base::endpoint& service)
    {
        delivery result;
        result.first_host = first;
        std::size_t at = first;
        while (true)
        {
            auto& host = *hosts_[at];
            result.last_host = at;
            if (!host.up || now_ < host.paused_until)
            {
                return result;
            }
            const auto outcome = host.logic->on_packet(caller, service, result.hops, now_);
            if (outcome.action == flow::verdict::drop)
            {
                result.dropped = true;
                result.reason = outcome.reason;
                return result;
            }
            if (outcome.action == flow::verdict::forward)
            {
                result.delivered = host.logic->may_reach(service, outcome.upstream_endpoint);
                result.upstream = outcome.upstream_endpoint;
                return result;
            }
            ++result.hops;
            const auto next = index_of(host.view[outcome.relay_to].name);
            if (hosts_[next]->side != host.side)
            {
                return result;
            }
            at = next;
        }
    }

    /// The upstream answers by way of the host that forwarded.
    void answer(const delivery& to, const base::endpoint& caller, const base::endpoint& service)
    {
        if (hosts_[to.last_host]->up)
        {
            hosts_[to.last_host]->logic->on_upstream_packet(caller, service, to.upstream, now_);
        }
    }

private:
    struct node
    {
        std::unique_ptr<flow::steering> logic;
        std::vector<membership::live_host> view;
        std::multimap<base::time_point, config::accepted_revision> pending;
        std::multimap<base::time_point, std::pair<config::upstream_id, bool>> health;
        std::map<std::string, base::time_point> heard;
        /// When each revision came in force.
        std::map<std::uint64_t, base::time_point> adopted;
        base::time_point ready_at{};
        base::time_point paused_until{};
        base::time_point last_tick{};
        base::time_point next_heartbeat{};
        std::optional<base::time_point> stops_at;
        std::uint64_t bytes = 0;
        std::uint32_t life = 1;
        int side = 0;
        bool up = true;
        bool in_fabric = true;
        bool leaving = false;
        bool ticked = false;
    };

    struct batch
    {
        base::time_point arrives{};
        std::size_t to = 0;
        std::uint32_t life = 0;
        std::vector<flow::flow_record> records;
    };

    static std::string name_of(std::size_t host) { return "host-" + std::to_string(host); }

    node make_node(std::size_t host)
    {
        node result;
        ++made_;
        result.logic = std::make_unique<flow::steering>(
            flow::steering_settings{name_of(host), settings_.table_size, settings_.seed * 1000 + made_});
        result.next_heartbeat = now_ + base::duration{static_cast<std::int64_t>(
                                           random_.below(static_cast<std::uint64_t>(settings_.heartbeat.count())))};
        return result;
    }

    std::size_t index_of(const std::string& name) const { return std::stoul(name.substr(5)); }

    bool reaches(std::size_t from, std::size_t to) const
    {
        return hosts_[to]->up && now_ >= hosts_[to]->paused_until && hosts_[from]->side == hosts_[to]->side;
    }

    void run(std::size_t index)
    {
        auto& host = *hosts_[index];
        if (!host.up || now_ < host.paused_until)
        {
            return;
        }
        if (host.stops_at && now_ >= *host.stops_at)
        {
            host.up = false;
            return;
        }
        if (!host.in_fabric && !host.leaving && now_ >= host.ready_at)
        {
            host.in_fabric = true;
        }
        for (; !host.health.empty() && host.health.begin()->first <= now_; host.health.erase(host.health.begin()))
        {
            const auto& [upstream, healthy] = host.health.begin()->second;
            host.logic->on_health(upstream, healthy, now_);
        }
        for (; !host.pending.empty() && host.pending.begin()->first <= now_; host.pending.erase(host.pending.begin()))
        {
            host.logic->on_revision(host.pending.begin()->second, now_);
            host.adopted.emplace(host.pending.begin()->second.number, now_);
        }
        const bool paused = host.ticked && now_ - host.last_tick > base::duration{2'000'000};
        host.last_tick = now_;
        host.ticked = true;
        if (paused)
        {
            host.heard.clear();
        }
        update_view(index);
        host.logic->on_tick(now_, paused);
        if (now_ >= host.next_heartbeat)
        {
            host.next_heartbeat += settings_.heartbeat;
            host.next_heartbeat = std::max(host.next_heartbeat, now_);
            exchange(index);
        }
    }

    void update_view(std::size_t index)
    {
        auto& host = *hosts_[index];
        std::vector<membership::live_host> view;
        for (std::size_t i = 0; i < hosts_.size(); ++i)
        {
            const auto name = name_of(i);
            const auto heard = host.heard.find(name);
            const bool self = i == index && host.in_fabric;
            const bool live = heard != host.heard.end() && now_ - heard->second < settings_.peer_timeout;
            if (self || (live && i != index))
            {
                view.push_back({name, "", base::hash_text(name), {}});
            }
        }
        std::sort(view.begin(), view.end());
        host.view = view;
        host.logic->on_hosts(view, now_);
    }

    void exchange(std::size_t from)
    {
        auto& host = *hosts_[from];
        const std::size_t peers = std::max<std::size_t>(1, settings_.hosts - 1);
        const auto beat_bytes =
            settings_.bytes_per_second * static_cast<std::size_t>(settings_.heartbeat.count()) / 1'000'000 / peers;
        for (std::size_t to = 0; to < hosts_.size(); ++to)
        {
            if (to == from || !reaches(from, to))
            {
                continue;
            }
            if (!host.in_fabric)
            {
                hosts_[to]->heard.erase(name_of(from));
            }
            else
            {
                hosts_[to]->heard[name_of(from)] = now_;
            }
            for (std::size_t i = 0; i < host.view.size(); ++i)
            {
                if (host.view[i].name == name_of(to))
                {
                    post(to, host.logic->take_records(i, beat_bytes, now_), host);
                }
            }
        }
    }

    void post(std::size_t to, const std::vector<flow::flow_record>& records, node& from)
    {
        from.bytes += records.size() * flow::flow_record::wire_size;
        if (records.empty() || random_.below(100) < settings_.drop_percent)
        {
            return;
        }
        const std::size_t copies = random_.below(100) < settings_.double_percent ? 2 : 1;
        for (std::size_t i = 0; i < copies; ++i)
        {
            base::duration delay{2'000};
            if (random_.below(100) < settings_.delay_percent)
            {
                delay += base::duration{static_cast<std::int64_t>(
                    random_.below(static_cast<std::uint64_t>(settings_.longest_delay.count())))};
            }
            batches_.push_back({now_ + delay, to, hosts_[to]->life, records});
        }
    }

    void deliver_batches()
    {
        std::vector<batch> kept;
        for (auto& one : batches_)
        {
            auto& host = *hosts_[one.to];
            if (one.arrives > now_)
            {
                kept.push_back(std::move(one));
            }
            else if (host.up && now_ >= host.paused_until && host.life == one.life)
            {
                host.logic->on_records(one.records, now_);
            }
        }
        batches_ = std::move(kept);
    }

    fleet_settings settings_;
    base::random_source random_;
    base::time_point now_{base::duration{1'000'000'000}};
    std::uint64_t made_ = 0;
    std::vector<std::unique_ptr<node>> hosts_;
    std::vector<batch> batches_;
    std::optional<config::accepted_revision> newest_;
    std::map<config::upstream_id, bool> reported_;
};

} // namespace galenabay::bench
