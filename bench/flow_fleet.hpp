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

/// Size, timing, record budget and network faults of a simulated fleet. Plain value.
struct fleet_settings
{
    std::size_t hosts = 9;
    std::size_t table_size = 4096;
    std::uint64_t seed = 1;
    /// Budget for the records that one host sends to all its peers together.
    std::size_t bytes_per_second = 2600;
    base::duration heartbeat_interval{500'000};
    base::duration peer_timeout{3'000'000};
    /// Percentages of record batches that are dropped, duplicated and delayed.
    std::uint64_t drop_percent = 0;
    std::uint64_t duplicate_percent = 0;
    std::uint64_t delay_percent = 0;
    base::duration max_delay{1'500'000};
};

/// The outcome for one packet sent through the fleet. Plain value.
struct delivery
{
    bool delivered = false;
    /// A host decided to drop the packet. A packet that is neither delivered nor
    /// dropped was lost, for example at a host that is down or paused.
    bool dropped = false;
    flow::drop_reason reason = flow::drop_reason::none;
    std::uint8_t hops = 0;
    std::size_t first_host = 0;
    std::size_t last_host = 0;
    base::endpoint upstream;
};

/// Simulates a fleet of hosts in virtual time: their `steering` instances, the
/// exchange of records between them, host faults, and a fabric that sends each
/// packet to a random host. Owned by one thread.
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
    /// Returns true when the process runs and its last pause ended more than 3 s ago.
    bool is_responsive(std::size_t host) const
    {
        return hosts_[host]->up && now_ > hosts_[host]->paused_until + base::duration{3'000'000};
    }
    /// Returns the number of processes that have run under this host's name so far.
    std::uint32_t incarnation(std::size_t host) const { return hosts_[host]->incarnation; }
    /// Returns true when a responsive host has had the revision or a newer one in
    /// force for more than `age`.
    bool is_in_force(std::uint64_t revision, base::duration age) const
    {
        for (std::size_t i = 0; i < hosts_.size(); ++i)
        {
            for (const auto& [number, time] : hosts_[i]->adopted)
            {
                if (number >= revision && is_responsive(i) && now_ - time > age)
                {
                    return true;
                }
            }
        }
        return false;
    }
    flow::steering& at(std::size_t host) { return *hosts_[host]->steering; }
    base::random_source& random() noexcept { return random_; }
    /// Returns the number of record bytes that the host's present process has sent.
    std::uint64_t record_bytes(std::size_t host) const { return hosts_[host]->bytes; }

    /// Advances time in steps of 100 ms. Each step runs ticks, heartbeats and record
    /// exchange, and applies scheduled revisions and health reports.
    void advance(base::duration by)
    {
        const base::duration step{100'000};
        for (const auto end = now_ + by; now_ < end;)
        {
            now_ += std::min(step, end - now_);
            for (std::size_t i = 0; i < hosts_.size(); ++i)
            {
                run_host(i);
            }
            deliver_batches();
        }
    }

    /// Puts a revision in force at a host after a delay.
    void schedule(std::size_t host, const config::accepted_revision& revision, base::duration delay)
    {
        hosts_[host]->pending_revisions.emplace(now_ + delay, revision);
    }

    /// Schedules a revision for all hosts at random times up to `max_delay`; hosts
    /// that start later apply it when they start.
    void publish(const config::accepted_revision& revision, base::duration max_delay)
    {
        newest_revision_ = revision;
        for (std::size_t i = 0; i < hosts_.size(); ++i)
        {
            const base::duration delay{
                static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(max_delay.count()) + 1))};
            schedule(i, revision, delay);
        }
    }

    /// Stops a host's process at once, without a planned stop.
    void kill(std::size_t host)
    {
        hosts_[host]->up = false;
        hosts_[host]->in_fabric = false;
    }

    /// Starts a new process without flows in place of a host that is down. It joins
    /// the fabric after 1.5 s and receives health reports after 1 s.
    void start(std::size_t host)
    {
        const auto incarnation = hosts_[host]->incarnation;
        hosts_[host] = std::make_unique<node>(make_node(host));
        hosts_[host]->incarnation = incarnation + 1;
        hosts_[host]->ready_at = now_ + base::duration{1'500'000};
        hosts_[host]->in_fabric = false;
        for (const auto& [upstream, healthy] : reported_health_)
        {
            hosts_[host]->pending_health.emplace(now_ + base::duration{1'000'000}, std::pair{upstream, healthy});
        }
        if (newest_revision_)
        {
            hosts_[host]->steering->on_revision(*newest_revision_, now_);
            hosts_[host]->adopted.emplace(newest_revision_->number, now_);
        }
    }

    /// Stops a host as planned: it leaves the fabric at once and stops 5 s later.
    void leave(std::size_t host)
    {
        hosts_[host]->leaving = true;
        hosts_[host]->in_fabric = false;
        hosts_[host]->stops_at = now_ + base::duration{5'000'000};
    }

    /// Suspends a host's process. Packets and records that arrive meanwhile are lost.
    void pause(std::size_t host, base::duration length) { hosts_[host]->paused_until = now_ + length; }

    /// Moves a host to a network partition. Hosts in different partitions can't reach
    /// each other; when all are in 0, there is no partition.
    void set_partition(std::size_t host, int partition) { hosts_[host]->partition = partition; }

    /// Reports an upstream's health to each host after a random delay up to `max_delay`.
    void report_health(config::upstream_id upstream, bool healthy, base::duration max_delay)
    {
        reported_health_[upstream] = healthy;
        for (auto& host : hosts_)
        {
            const auto delay = random_.below(static_cast<std::uint64_t>(max_delay.count()) + 1);
            host->pending_health.emplace(now_ + base::duration{static_cast<std::int64_t>(delay)},
                                         std::pair{upstream, healthy});
        }
    }

    /// Sends one packet to a random host of the fabric, within `partition` unless that
    /// is negative.
    delivery send(const base::endpoint& caller, const base::endpoint& service, int partition = -1)
    {
        std::vector<std::size_t> candidates;
        for (std::size_t i = 0; i < hosts_.size(); ++i)
        {
            if (hosts_[i]->up && hosts_[i]->in_fabric && (partition < 0 || hosts_[i]->partition == partition))
            {
                candidates.push_back(i);
            }
        }
        return candidates.empty() ? delivery{} : send_to(candidates[random_.below(candidates.size())], caller, service);
    }

    /// Sends one packet to host `first` and follows it along relays.
    delivery send_to(std::size_t first, const base::endpoint& caller, const base::endpoint& service)
    {
        delivery result;
        result.first_host = first;
        std::size_t current = first;
        while (true)
        {
            auto& host = *hosts_[current];
            result.last_host = current;
            if (!host.up || now_ < host.paused_until)
            {
                return result;
            }
            const auto outcome = host.steering->on_packet(caller, service, result.hops, now_);
            if (outcome.action == flow::verdict::drop)
            {
                result.dropped = true;
                result.reason = outcome.reason;
                return result;
            }
            if (outcome.action == flow::verdict::forward)
            {
                result.delivered = host.steering->may_reach(service, outcome.upstream_endpoint);
                result.upstream = outcome.upstream_endpoint;
                return result;
            }
            ++result.hops;
            const auto next = index_of(host.view[outcome.relay_to].name);
            if (hosts_[next]->partition != host.partition)
            {
                return result;
            }
            current = next;
        }
    }

    /// Passes an upstream's answer to the host that forwarded the packet, if it is up.
    void answer(const delivery& to, const base::endpoint& caller, const base::endpoint& service)
    {
        if (hosts_[to.last_host]->up)
        {
            hosts_[to.last_host]->steering->on_upstream_packet(caller, service, to.upstream, now_);
        }
    }

private:
    /// State of one host: its process and its view of the other hosts.
    struct node
    {
        std::unique_ptr<flow::steering> steering;
        std::vector<membership::live_host> view;
        std::multimap<base::time_point, config::accepted_revision> pending_revisions;
        std::multimap<base::time_point, std::pair<config::upstream_id, bool>> pending_health;
        std::map<std::string, base::time_point> last_heartbeats;
        /// Time at which each revision came into force, by revision number.
        std::map<std::uint64_t, base::time_point> adopted;
        base::time_point ready_at{};
        base::time_point paused_until{};
        base::time_point last_tick{};
        base::time_point next_heartbeat{};
        std::optional<base::time_point> stops_at;
        std::uint64_t bytes = 0;
        std::uint32_t incarnation = 1;
        int partition = 0;
        bool up = true;
        bool in_fabric = true;
        bool leaving = false;
        bool ticked = false;
    };

    /// Records in transit to a host.
    struct batch
    {
        base::time_point arrives_at{};
        std::size_t to = 0;
        /// Incarnation of the receiver; a later process does not receive the batch.
        std::uint32_t incarnation = 0;
        std::vector<flow::flow_record> records;
    };

    static std::string name_of(std::size_t host) { return "host-" + std::to_string(host); }

    node make_node(std::size_t host)
    {
        node result;
        ++created_nodes_;
        result.steering = std::make_unique<flow::steering>(
            flow::steering_settings{name_of(host), settings_.table_size, settings_.seed * 1000 + created_nodes_});
        result.next_heartbeat = now_ + base::duration{static_cast<std::int64_t>(random_.below(
                                           static_cast<std::uint64_t>(settings_.heartbeat_interval.count())))};
        return result;
    }

    std::size_t index_of(const std::string& name) const { return std::stoul(name.substr(5)); }

    bool can_reach(std::size_t from, std::size_t to) const
    {
        return hosts_[to]->up && now_ >= hosts_[to]->paused_until && hosts_[from]->partition == hosts_[to]->partition;
    }

    void run_host(std::size_t index)
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
        for (; !host.pending_health.empty() && host.pending_health.begin()->first <= now_;
             host.pending_health.erase(host.pending_health.begin()))
        {
            const auto& [upstream, healthy] = host.pending_health.begin()->second;
            host.steering->on_health(upstream, healthy, now_);
        }
        for (; !host.pending_revisions.empty() && host.pending_revisions.begin()->first <= now_;
             host.pending_revisions.erase(host.pending_revisions.begin()))
        {
            host.steering->on_revision(host.pending_revisions.begin()->second, now_);
            host.adopted.emplace(host.pending_revisions.begin()->second.number, now_);
        }
        const bool paused = host.ticked && now_ - host.last_tick > base::duration{2'000'000};
        host.last_tick = now_;
        host.ticked = true;
        if (paused)
        {
            host.last_heartbeats.clear();
        }
        update_view(index);
        host.steering->on_tick(now_, paused);
        if (now_ >= host.next_heartbeat)
        {
            host.next_heartbeat += settings_.heartbeat_interval;
            host.next_heartbeat = std::max(host.next_heartbeat, now_);
            exchange(index);
        }
    }

    /// Passes the live hosts to the host's `steering`: those whose last heartbeat is
    /// younger than the peer timeout, and itself while it is in the fabric.
    void update_view(std::size_t index)
    {
        auto& host = *hosts_[index];
        std::vector<membership::live_host> view;
        for (std::size_t i = 0; i < hosts_.size(); ++i)
        {
            const auto name = name_of(i);
            const auto last_heartbeat = host.last_heartbeats.find(name);
            const bool self = i == index && host.in_fabric;
            const bool live =
                last_heartbeat != host.last_heartbeats.end() && now_ - last_heartbeat->second < settings_.peer_timeout;
            if (self || (live && i != index))
            {
                view.push_back({name, "", base::hash_text(name), {}});
            }
        }
        std::sort(view.begin(), view.end());
        host.view = view;
        host.steering->on_hosts(view, now_);
    }

    /// Sends a heartbeat and records to every peer that can be reached. A host that
    /// is not in the fabric announces this, and its peers remove it from their view.
    void exchange(std::size_t from)
    {
        auto& host = *hosts_[from];
        const std::size_t peers = std::max<std::size_t>(1, settings_.hosts - 1);
        const auto bytes_per_heartbeat = settings_.bytes_per_second *
                                         static_cast<std::size_t>(settings_.heartbeat_interval.count()) / 1'000'000 /
                                         peers;
        for (std::size_t to = 0; to < hosts_.size(); ++to)
        {
            if (to == from || !can_reach(from, to))
            {
                continue;
            }
            if (!host.in_fabric)
            {
                hosts_[to]->last_heartbeats.erase(name_of(from));
            }
            else
            {
                hosts_[to]->last_heartbeats[name_of(from)] = now_;
            }
            for (std::size_t i = 0; i < host.view.size(); ++i)
            {
                if (host.view[i].name == name_of(to))
                {
                    send_records(to, host.steering->take_records(i, bytes_per_heartbeat, now_), host);
                }
            }
        }
    }

    /// Sends a batch with the configured loss, duplication and delay.
    void send_records(std::size_t to, const std::vector<flow::flow_record>& records, node& from)
    {
        from.bytes += records.size() * flow::flow_record::wire_size;
        if (records.empty() || random_.below(100) < settings_.drop_percent)
        {
            return;
        }
        const std::size_t copies = random_.below(100) < settings_.duplicate_percent ? 2 : 1;
        for (std::size_t i = 0; i < copies; ++i)
        {
            base::duration delay{2'000};
            if (random_.below(100) < settings_.delay_percent)
            {
                delay += base::duration{
                    static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(settings_.max_delay.count())))};
            }
            batches_.push_back({now_ + delay, to, hosts_[to]->incarnation, records});
        }
    }

    void deliver_batches()
    {
        std::vector<batch> remaining;
        for (auto& pending : batches_)
        {
            auto& host = *hosts_[pending.to];
            if (pending.arrives_at > now_)
            {
                remaining.push_back(std::move(pending));
            }
            else if (host.up && now_ >= host.paused_until && host.incarnation == pending.incarnation)
            {
                host.steering->on_records(pending.records, now_);
            }
        }
        batches_ = std::move(remaining);
    }

    fleet_settings settings_;
    base::random_source random_;
    base::time_point now_{base::duration{1'000'000'000}};
    std::uint64_t created_nodes_ = 0;
    std::vector<std::unique_ptr<node>> hosts_;
    std::vector<batch> batches_;
    std::optional<config::accepted_revision> newest_revision_;
    std::map<config::upstream_id, bool> reported_health_;
};

} // namespace galenabay::bench
