#pragma once

#include "steer_fixture.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace galenabay::steer::test
{

/// Hosts, upstreams and callers of several data centres in virtual time. Each flow carries one
/// request; callers retransmit SYNs and requests, and the sums of the loads, votes and demands reach
/// the hosts late.
class fleet_simulation
{
public:
    struct data_centre
    {
        std::string name;
        std::size_t hosts = 1;
        std::size_t upstreams = 0;
        /// New flows a second of all its hosts.
        double demand = 0;
    };

    struct result
    {
        base::duration opened_at{0};
        std::string from;
        /// Data centre of the upstream that the first SYN went to.
        std::string to;
        /// Time from the first SYN to the answer; empty when there was none.
        std::optional<base::duration> answered_after;
        bool rejected = false;
        bool established = false;
        /// Tries that a host or an upstream refused. The caller makes three.
        std::uint32_t refused = 0;
        std::uint32_t refused_by_host = 0;
        /// The upstream that answered.
        std::size_t upstream = 0;
    };

    explicit fleet_simulation(const std::vector<data_centre>& sites, const data_centre_evidence::options& links = {},
                              const configuration& routes = make_configuration(1))
        : max_flows_{routes.limits.empty() ? 0 : routes.limits.front().max_flows}
    {
        std::vector<upstream_entry> entries;
        for (const auto& site : sites)
        {
            for (std::size_t i = 0; i < site.upstreams; ++i)
            {
                entries.push_back(make_upstream("i-" + std::to_string(entries.size()), entries.size() + 1));
                entries.back().data_centre = site.name;
                entries.back().slots = slot_count;
                upstreams_.push_back({.site = site.name, .slots = {}, .queue = {}});
            }
        }
        for (const auto& site : sites)
        {
            for (std::size_t i = 0; i < site.hosts; ++i)
            {
                const auto host = hosts_.size();
                const steering_options options{.data_centre = site.name, .links = links};
                hosts_.push_back({site.name, std::make_unique<steerer>(options, host + 1), {}});
                this->host(host).on_configuration(routes);
                this->host(host).on_upstream_list(entries, {}, at(0s));
                every(100ms, [this, host] { tick(host); });
                open_next(host, site.demand / static_cast<double>(site.hosts));
            }
        }
        every(500ms, [this] { share_loads(); });
    }

    void run_until(base::duration end)
    {
        for (; events_.begin()->first <= end; events_.erase(events_.begin()))
        {
            now_ = events_.begin()->first;
            events_.begin()->second();
        }
    }

    steerer& host(std::size_t index) { return *hosts_[index].core; }

    /// While set, no packet passes between this data centre and the others.
    std::string cut;
    /// An upstream that answers nothing, and those that process requests so many times as long.
    std::size_t crashed = SIZE_MAX;
    std::map<std::size_t, double> slowdown;
    /// The first so many upstreams answer nothing, and so many hosts, from the first one on, are dead.
    std::size_t lost_upstreams = 0;
    std::size_t dead_hosts = 0;
    /// Hosts tell each other their votes, and probe upstreams that they suspect.
    bool shares_evidence = false;
    /// Factor on the demand.
    double burst = 1;
    std::deque<result> results;

private:
    static constexpr std::size_t slot_count = 2;
    static constexpr std::size_t max_queue = 8;

    struct sim_upstream
    {
        std::string site;
        /// When each slot gets free, and when the waiting requests start.
        std::array<base::duration, slot_count> slots{};
        std::vector<base::duration> queue;
        std::uint32_t flows = 0;
    };

    struct sim_host
    {
        std::string site;
        std::unique_ptr<steerer> core;
        /// The demands that it knows, and as of when.
        fleet_demand known;
        base::duration known_at{0};
    };

    /// A flow's caller, its host and the upstream that it is sent to.
    struct flow_path
    {
        std::size_t flow = 0;
        std::size_t host = 0;
        std::uint16_t port = 0;
        std::size_t upstream = 0;
        upstream_token token = 0;
        std::uint32_t attempt = 0;
    };

    void schedule(base::duration after, std::function<void()> action)
    {
        events_.emplace(now_ + after, std::move(action));
    }

    void every(base::duration interval, const std::function<void()>& action)
    {
        schedule(interval, [=, this] { action(), every(interval, action); });
    }

    bool is_local(const flow_path& path) const { return hosts_[path.host].site == upstreams_[path.upstream].site; }
    base::duration delay(const flow_path& path) const { return is_local(path) ? 1ms : 4ms; }
    bool passes(const flow_path& path) const
    {
        return path.upstream != crashed && path.upstream >= lost_upstreams &&
               (is_local(path) || (hosts_[path.host].site != cut && upstreams_[path.upstream].site != cut));
    }

    void open_next(std::size_t host, double rate)
    {
        if (rate > 0)
        {
            results.push_back({.opened_at = now_, .from = hosts_[host].site, .to = {}, .answered_after = {}});
            send_syn({.flow = results.size() - 1, .host = host, .port = ++last_port_}, 0);
            const auto gap = static_cast<std::int64_t>(2e6 / (rate * burst) * random_.unit());
            schedule(base::duration{gap}, [=, this] { open_next(host, rate); });
        }
    }

    void send_syn(flow_path path, std::uint32_t copy)
    {
        if (copy > 2 || results[path.flow].established || results[path.flow].refused != path.attempt)
        {
            return;
        }
        path.host = running(path.host);
        schedule(200ms * (1U << copy), [=, this] { send_syn(path, copy + 1); });
        const auto decision = host(path.host).on_packet(syn(path.port, copy), at(now_));
        path.token = decision.token;
        path.upstream = static_cast<std::size_t>(decision.upstream_number - 1);
        if (decision.action == steering_action::forward)
        {
            results[path.flow].to = copy == 0 ? upstreams_[path.upstream].site : results[path.flow].to;
            schedule(2 * delay(path), [=, this, open = passes(path)] { open ? send_request(path) : void(); });
        }
        else if (decision.action == steering_action::reset)
        {
            ++results[path.flow].refused_by_host;
            try_again(path);
        }
    }

    /// A refused caller tries again from a new port, through any host.
    void try_again(flow_path path)
    {
        path.attempt = ++results[path.flow].refused;
        path.host = random_.below(hosts_.size());
        path.port = ++last_port_;
        const base::duration wait{50'000 + static_cast<std::int64_t>(1e5 * random_.unit())};
        path.attempt < 3 ? schedule(
                               wait, [=, this] { send_syn(path, 0); })
                         : void();
    }

    std::size_t running(std::size_t host) const { return host < dead_hosts ? dead_hosts + host % 2 : host; }

    /// With a limit on flows, upstreams refuse a SYN when they have no room. A host sees only that no answer comes.
    bool is_refused(const flow_path& path)
    {
        auto& upstream = upstreams_[path.upstream];
        std::erase_if(upstream.queue, [this](base::duration start) { return start <= now_; });
        return max_flows_ > 0 && (upstream.flows >= max_flows_ || upstream.queue.size() == max_queue);
    }

    void send_request(const flow_path& path)
    {
        if (!results[path.flow].established && is_refused(path))
        {
            results[path.flow].refused == path.attempt ? try_again(path) : void();
            return;
        }
        if (!std::exchange(results[path.flow].established, true))
        {
            ++upstreams_[path.upstream].flows;
            host(running(path.host)).on_packet(data(path.port, path.token, 1, 1), at(now_));
            schedule(delay(path), [=, this, open = passes(path)]
                     { open ? process(path) : void(--upstreams_[path.upstream].flows); });
            schedule(200ms, [=, this] { repeat_request(path, 1); });
        }
    }

    /// Sends a request again that was not answered. An upstream that gets it acknowledges the copy.
    void repeat_request(const flow_path& path, std::uint32_t copy)
    {
        if (!results[path.flow].answered_after && copy <= 3)
        {
            host(running(path.host)).on_packet(data(path.port, path.token, 1, 1), at(now_));
            const auto again = [=, this] { repeat_request(path, copy + 1); };
            passes(path) ? void() : schedule(200ms * (1U << copy), again);
        }
    }

    void answer(const flow_path& path, std::uint32_t size)
    {
        results[path.flow].answered_after = now_ - results[path.flow].opened_at;
        results[path.flow].rejected = size < 100;
        results[path.flow].upstream = path.upstream;
        host(running(path.host)).on_packet(fin(path.port, path.token, 101, 1 + size), at(now_));
        --upstreams_[path.upstream].flows;
    }

    void process(const flow_path& path)
    {
        auto& upstream = upstreams_[path.upstream];
        std::erase_if(upstream.queue, [this](base::duration start) { return start <= now_; });
        if (upstream.queue.size() == max_queue)
        {
            schedule(delay(path), [=, this] { answer(path, 40); });
            return;
        }
        const double factor = slowdown.contains(path.upstream) ? slowdown[path.upstream] : 1;
        const auto time = static_cast<std::int64_t>(factor * (15'000 + 5'000 * random_.unit()));
        auto& free_at = *std::min_element(upstream.slots.begin(), upstream.slots.end());
        upstream.queue.push_back(std::max(free_at, now_));
        free_at = upstream.queue.back() + base::duration{time};
        schedule(free_at - now_ + delay(path), [=, this] { answer(path, 2'000); });
    }

    void tick(std::size_t index)
    {
        if (running(index) != index)
        {
            return;
        }
        auto& [site, core, known, known_at] = hosts_[index];
        core->on_tick(at(now_));
        known.local.age = known.remote.age = now_ - known_at;
        core->on_demands(known.hosts > 0 ? std::optional{known} : std::nullopt, at(now_));
        for (const auto& probe : core->take_probe_requests())
        {
            if (!shares_evidence)
            {
                continue;
            }
            const auto number = static_cast<std::size_t>(core->registry().find(probe.token)->entry.number - 1);
            const bool open = passes({.host = index, .upstream = number});
            schedule(
                open ? 2ms : 250ms, [=, this, core = core.get()]
                { core->on_probe(probe.token, open ? probe_result::reachable : probe_result::unreachable, at(now_)); });
        }
    }

    /// Sends each host the sums of the others' loads and votes, which arrive half a second later, and of all demands.
    void share_loads()
    {
        std::vector<std::vector<service_demand>> demands;
        for (std::size_t i = 0; i < hosts_.size(); ++i)
        {
            demands.push_back(running(i) == i ? hosts_[i].core->report_demands(at(now_))
                                              : std::vector<service_demand>{});
        }
        for (auto& receiver : hosts_)
        {
            std::map<upstream_token, steerer::remote_view> sums;
            fleet_demand known;
            for (std::size_t i = dead_hosts; i < hosts_.size(); ++i)
            {
                auto& other = hosts_[i];
                ++known.hosts;
                for (const auto& demand : demands[i])
                {
                    (other.site == receiver.site ? known.local : known.remote).add(demand);
                }
                const auto add = [&](const upstream_incarnation& upstream)
                {
                    auto& sum = sums[upstream.token];
                    sum.flows += upstream.flows;
                    sum.open_requests += upstream.open_requests;
                    if (!shares_evidence)
                    {
                        return;
                    }
                    sum.silence_votes += other.core->is_avoided_locally(upstream, at(now_)) ? 1 : 0;
                    sum.unreachable_votes += other.core->is_unreachable(upstream, at(now_)) ? 1 : 0;
                    const auto ago = at(now_) - upstream.last_progress;
                    sum.answered_ago = std::min(sum.answered_ago.value_or(ago), ago);
                };
                &other != &receiver ? other.core->registry().for_each(add) : void();
            }
            const auto deliver = [this, sums, known, taken = now_, &receiver]
            {
                receiver.known = known;
                receiver.known_at = taken;
                receiver.core->set_peer_count(shares_evidence ? known.hosts - 1 : 0);
                for (auto [token, seen] : sums)
                {
                    seen.answered_ago =
                        seen.answered_ago ? std::optional{*seen.answered_ago + (now_ - taken)} : std::nullopt;
                    receiver.core->on_remote_view(token, seen, at(now_));
                }
            };
            schedule(500ms, deliver);
        }
    }

    std::uint32_t max_flows_;
    std::vector<sim_host> hosts_;
    std::vector<sim_upstream> upstreams_;
    std::multimap<base::duration, std::function<void()>> events_;
    base::random_source random_{11};
    std::uint16_t last_port_ = 0;
    base::duration now_{0};
};

} // namespace galenabay::steer::test
