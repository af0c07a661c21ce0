// Checks that 3 to 6 steering instances keep established flows on their upstreams under random faults and changes in
// virtual time. Usage: torture_flow [--seeds N] [--first S] [--kinds MASK] [--trace 1] [--caller N]

#include "flow_fleet.hpp"
#include "revision_maker.hpp"
#include "seed_arguments.hpp"

#include <array>
#include <cstdio>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace galenabay::bench
{

namespace
{

constexpr base::duration second{1'000'000};
constexpr base::duration run_duration = 150 * second;
constexpr base::duration max_adoption_delay = 10 * second;
constexpr base::duration max_drain_delay = 3 * second;
constexpr std::uint32_t idle_timeout_s = 90;
constexpr std::uint64_t max_gap_ms = 25'000;
constexpr std::size_t flow_count = 250;
/// An established flow counts as broken after this many refusals in a row.
constexpr int max_consecutive_refusals = 6;

struct counts
{
    std::uint64_t packets = 0;
    std::uint64_t flows = 0;
    std::uint64_t relayed = 0;
    std::uint64_t changes = 0;
    std::uint64_t host_faults = 0;
    std::uint64_t upstream_faults = 0;
    std::uint64_t refused = 0;
    /// Flows that broke while every host that had forwarded them was down or paused.
    std::uint64_t orphans = 0;
    /// Flows whose upstream was removed and is no longer in the lineage.
    std::uint64_t ended = 0;
    std::uint64_t violations = 0;
};

struct open_flow
{
    base::endpoint caller;
    base::endpoint address;
    std::string service;
    base::endpoint upstream;
    bool established = false;
    bool forwarded = false;
    base::time_point send_at{};
    std::uint64_t gap_ms = 1000;
    int consecutive_refusals = 0;
    /// Hosts that forwarded a packet of the flow, with their incarnation and the time.
    std::map<std::size_t, std::pair<std::uint32_t, base::time_point>> forwarding_hosts;
};

enum class event : unsigned
{
    change,
    two_changes,
    kill_host,
    replace_host,
    pause_host,
    fail_upstream,
    flap_upstream,
    move_address,
};

class torture_run
{
public:
    torture_run(std::uint64_t seed, const torture_options& options, counts& total)
        : seed_{seed}, options_{options}, total_{total}, random_{base::mix(seed, 77)},
          fleet_{make_fleet_settings(seed)}, revisions_{make_services()}
    {
        record_owners();
        record_listed_upstreams();
        for (std::size_t i = 0; i < fleet_.size(); ++i)
        {
            fleet_.at(i).on_revision(revisions_.current(), fleet_.now());
        }
        fleet_.publish(revisions_.current(), base::duration{0});
        fleet_.advance(8 * second);
    }

    void run()
    {
        const auto end = fleet_.now() + run_duration;
        for (std::size_t i = 0; i < flow_count; ++i)
        {
            flows_.push_back(make_flow());
        }
        next_event_ = fleet_.now() + 5 * second;
        while (fleet_.now() < end)
        {
            fleet_.advance(base::duration{100'000});
            if (fleet_.now() >= next_event_ && fleet_.now() + 20 * second < end)
            {
                next_event_ = fleet_.now() + base::duration{static_cast<std::int64_t>(random_.below(12'000'000))};
                inject_event();
            }
            restart_due_hosts();
            for (auto& flow : flows_)
            {
                if (flow.send_at <= fleet_.now())
                {
                    send(flow);
                }
            }
        }
    }

private:
    static fleet_settings make_fleet_settings(std::uint64_t seed)
    {
        fleet_settings settings;
        settings.hosts = 3 + seed % 4;
        settings.seed = seed;
        settings.table_size = 2048;
        settings.drop_percent = seed % 3 == 0 ? 3 : 0;
        settings.duplicate_percent = 10;
        settings.delay_percent = 10;
        return settings;
    }

    static std::vector<config::service> make_services()
    {
        std::vector<config::service> services{make_service("parts", 5683, 1, 6), make_service("titles", 5684, 101, 3)};
        for (auto& service : services)
        {
            service.flows.idle_timeout_s = idle_timeout_s;
        }
        return services;
    }

    void record_owners()
    {
        for (const auto& service : revisions_.draft())
        {
            for (const auto& upstream : service.upstreams)
            {
                owners_[upstream.endpoint] = service.name;
            }
        }
    }

    static base::endpoint caller_of(std::uint64_t number)
    {
        return base::endpoint::make_v4(0x0b000000 + static_cast<std::uint32_t>(number), 40000);
    }

    open_flow make_flow()
    {
        ++total_.flows;
        open_flow flow;
        flow.caller = caller_of(++last_caller_);
        const auto& service = revisions_.draft()[random_.below(3) == 0 ? 1 : 0];
        flow.service = service.name;
        flow.address = service.address;
        flow.gap_ms = random_.below(2) == 0 ? 500 + random_.below(2'000) : 5'000 + random_.below(max_gap_ms - 5'000);
        flow.send_at = fleet_.now() + base::duration{static_cast<std::int64_t>(random_.below(2'000'000))};
        flow.send_at = std::max(flow.send_at, addresses_in_force_at_);
        return flow;
    }

    void send(open_flow& flow)
    {
        ++total_.packets;
        flow.send_at = fleet_.now() +
                       base::duration{static_cast<std::int64_t>(500 * flow.gap_ms + random_.below(flow.gap_ms) * 1000)};
        const auto result = fleet_.send(flow.caller, flow.address);
        total_.relayed += result.hops;
        if (options_.caller != 0 && flow.caller == caller_of(options_.caller))
        {
            std::printf("  %lld packet hosts=%zu,%zu hops=%d upstream=%s reason=%s\n",
                        static_cast<long long>(fleet_.now().time_since_epoch().count() / 1000), result.first_host,
                        result.last_host, result.hops, result.upstream.to_string().c_str(),
                        flow::name_of(result.reason));
        }
        if (!result.delivered)
        {
            total_.refused += result.dropped ? 1 : 0;
            flow.consecutive_refusals += result.dropped ? 1 : 0;
            flow.send_at = std::min(flow.send_at, fleet_.now() + second);
            if (flow.consecutive_refusals >= max_consecutive_refusals)
            {
                end_refused_flow(flow, result);
            }
            return;
        }
        flow.consecutive_refusals = 0;
        if (!check_delivery(flow, result))
        {
            flow = make_flow();
            return;
        }
        flow.forwarded = true;
        if (failed_upstreams_.count(result.upstream) == 0)
        {
            fleet_.answer(result, flow.caller, flow.address);
            flow.established = true;
            flow.upstream = result.upstream;
        }
        flow.forwarding_hosts[result.last_host] = {fleet_.incarnation(result.last_host), fleet_.now()};
        if (random_.below(40) == 0)
        {
            flow = make_flow();
        }
    }

    /// Returns false on a violation, and when the flow moved for a permitted reason.
    bool check_delivery(const open_flow& flow, const delivery& result)
    {
        if (owners_[result.upstream] != flow.service)
        {
            violation("wrong service", flow, result);
            return false;
        }
        if (flow.established && result.upstream != flow.upstream && listed_upstreams_.count(flow.upstream) == 0)
        {
            ++total_.ended;
            return false;
        }
        if (flow.established && result.upstream != flow.upstream && ever_failed_upstreams_.count(flow.upstream) == 0)
        {
            has_live_record(flow) ? violation("flow moved", flow, result) : void(++total_.orphans);
            return false;
        }
        const auto drained = draining_since_.find(result.upstream);
        if (!flow.forwarded && drained != draining_since_.end() && fleet_.is_in_force(drained->second, max_drain_delay))
        {
            violation("new flow on a draining upstream", flow, result);
            return false;
        }
        return true;
    }

    void end_refused_flow(open_flow& flow, const delivery& result)
    {
        if (flow.established && failed_upstreams_.count(flow.upstream) == 0 &&
            listed_upstreams_.count(flow.upstream) != 0)
        {
            has_live_record(flow) ? violation("established flow refused", flow, result) : void(++total_.orphans);
        }
        flow = make_flow();
    }

    bool has_live_record(const open_flow& flow) const
    {
        for (const auto& [host, last_forwarded] : flow.forwarding_hosts)
        {
            const auto& [incarnation, time] = last_forwarded;
            const bool record_is_live = fleet_.now() - time < idle_timeout_s * second;
            if (record_is_live && fleet_.is_responsive(host) && fleet_.incarnation(host) == incarnation)
            {
                return true;
            }
        }
        return false;
    }

    void violation(const char* violated_rule, const open_flow& flow, const delivery& result)
    {
        ++total_.violations;
        std::printf(
            "violation seed=%llu at_ms=%lld promise=\"%s\" caller=%s was=%s now=%s hops=%d hosts=%zu,%zu reason=%s\n",
            static_cast<unsigned long long>(seed_),
            static_cast<long long>(fleet_.now().time_since_epoch().count() / 1000), violated_rule,
            flow.caller.to_string().c_str(), flow.upstream.to_string().c_str(), result.upstream.to_string().c_str(),
            result.hops, result.first_host, result.last_host, flow::name_of(result.reason));
    }

    void inject_event()
    {
        constexpr std::array<event, 10> kinds{
            event::change,       event::change,     event::change,        event::two_changes,   event::kill_host,
            event::replace_host, event::pause_host, event::fail_upstream, event::flap_upstream, event::move_address};
        const auto kind = kinds[random_.below(kinds.size())];
        if (((options_.event_kinds >> static_cast<unsigned>(kind)) & 1) == 0)
        {
            return;
        }
        switch (kind)
        {
        case event::change:
            return change();
        case event::two_changes:
            change();
            return change();
        case event::kill_host:
            return kill_host();
        case event::replace_host:
            return replace_host();
        case event::pause_host:
            return pause_host();
        case event::fail_upstream:
            return fail_upstream();
        case event::flap_upstream:
            return flap_upstream();
        case event::move_address:
            return move_address();
        }
    }

    template <typename... Values> void trace(const char* format, Values... values) const
    {
        if (options_.trace)
        {
            std::printf("  %lld ", static_cast<long long>(fleet_.now().time_since_epoch().count() / 1000));
            std::printf(format, values...);
            std::printf("\n");
        }
    }

    void change()
    {
        ++total_.changes;
        auto& service = revisions_.draft()[random_.below(4) == 0 ? 1 : 0];
        auto& upstreams = service.upstreams;
        auto& chosen = upstreams[random_.below(upstreams.size())];
        switch (random_.below(6))
        {
        case 0:
        case 1:
            upstreams.push_back(make_upstream(1000 + ++last_upstream_));
            break;
        case 2:
            chosen.weight = 50 + static_cast<std::uint32_t>(random_.below(4)) * 50;
            break;
        case 3:
        case 4:
            toggle_draining(service, chosen);
            break;
        default:
            remove_draining_upstream(service);
            break;
        }
        record_owners();
        publish();
        trace("change: revision %d, service %s", static_cast<int>(revisions_.current().number), service.name.c_str());
        for (const auto& one : options_.trace ? upstreams : std::vector<config::upstream>{})
        {
            trace("  %s %s weight %d", one.endpoint.to_string().c_str(), one.draining ? "draining" : "open",
                  static_cast<int>(one.weight));
        }
    }

    /// Gives one service a new address; the other may get the old one.
    void move_address()
    {
        ++total_.changes;
        auto& services = revisions_.draft();
        const auto moving = random_.below(2);
        const auto old_address = services[moving].address;
        services[moving].address = old_address.with_port(static_cast<std::uint16_t>(6000 + ++last_port_));
        if (random_.below(2) == 0)
        {
            services[1 - moving].address = old_address;
        }
        // New flows use the address only when the change is in force everywhere.
        addresses_in_force_at_ = fleet_.now() + max_adoption_delay + 2 * second;
        publish();
        trace("addresses: %s %s", services[0].address.to_string().c_str(), services[1].address.to_string().c_str());
    }

    void toggle_draining(const config::service& service, config::upstream& chosen)
    {
        const auto accepting = std::count_if(service.upstreams.begin(), service.upstreams.end(),
                                             [](const auto& one) { return !one.draining; });
        if (chosen.draining)
        {
            chosen.draining = false;
            draining_since_.erase(chosen.endpoint);
        }
        else if (accepting > 2)
        {
            chosen.draining = true;
        }
    }

    void remove_draining_upstream(config::service& service)
    {
        const auto drained = std::find_if(service.upstreams.begin(), service.upstreams.end(),
                                          [](const auto& one) { return one.draining; });
        if (drained != service.upstreams.end())
        {
            service.upstreams.erase(drained);
        }
    }

    void record_listed_upstreams()
    {
        listed_upstreams_.clear();
        const auto add = [&](const std::vector<config::upstream>& upstreams)
        {
            for (const auto& one : upstreams)
            {
                listed_upstreams_.insert(one.endpoint);
            }
        };
        for (const auto& service : revisions_.current().set.services)
        {
            add(service.upstreams);
        }
        for (const auto& [name, generations] : revisions_.current().lineage)
        {
            for (const auto& generation : generations)
            {
                add(generation.upstreams);
            }
        }
    }

    void publish()
    {
        fleet_.publish(revisions_.accept(), max_adoption_delay);
        record_listed_upstreams();
        for (const auto& service : revisions_.draft())
        {
            for (const auto& upstream : service.upstreams)
            {
                if (upstream.draining)
                {
                    draining_since_.try_emplace(upstream.endpoint, revisions_.current().number);
                }
            }
        }
    }

    std::size_t running_hosts() const
    {
        std::size_t up = 0;
        for (std::size_t i = 0; i < fleet_.size(); ++i)
        {
            up += fleet_.is_up(i) ? 1 : 0;
        }
        return up;
    }

    void kill_host()
    {
        const auto host = random_.below(fleet_.size());
        if (fleet_.is_up(host) && running_hosts() > 2)
        {
            ++total_.host_faults;
            trace("kill host %d", static_cast<int>(host));
            fleet_.kill(host);
            restarts_.emplace(fleet_.now() + base::duration{static_cast<std::int64_t>(random_.below(20'000'000))},
                              host);
        }
    }

    void replace_host()
    {
        const auto host = random_.below(fleet_.size());
        if (fleet_.is_up(host) && running_hosts() > 2 && leaving_hosts_.insert(host).second)
        {
            ++total_.host_faults;
            trace("leave host %d", static_cast<int>(host));
            fleet_.leave(host);
            restarts_.emplace(fleet_.now() + 6 * second, host);
        }
    }

    void pause_host()
    {
        const auto host = random_.below(fleet_.size());
        if (fleet_.is_up(host))
        {
            ++total_.host_faults;
            trace("pause host %d", static_cast<int>(host));
            fleet_.pause(host, base::duration{static_cast<std::int64_t>(2'500'000 + random_.below(40'000'000))});
        }
    }

    void fail_upstream()
    {
        const auto& service = revisions_.draft()[0];
        const auto& chosen = service.upstreams[random_.below(service.upstreams.size())];
        if (failed_upstreams_.empty())
        {
            ++total_.upstream_faults;
            failed_upstreams_.insert(chosen.endpoint);
            ever_failed_upstreams_.insert(chosen.endpoint);
            fleet_.report_health(config::id_of(service, chosen), false, 2 * second);
        }
    }

    void flap_upstream()
    {
        ++total_.upstream_faults;
        const auto& service = revisions_.draft()[0];
        const auto& chosen = service.upstreams[random_.below(service.upstreams.size())];
        const auto id = config::id_of(service, chosen);
        fleet_.report_health(id, false, base::duration{100'000});
        fleet_.advance(base::duration{400'000});
        fleet_.report_health(id, failed_upstreams_.count(chosen.endpoint) == 0, base::duration{100'000});
    }

    void restart_due_hosts()
    {
        while (!restarts_.empty() && restarts_.begin()->first <= fleet_.now())
        {
            leaving_hosts_.erase(restarts_.begin()->second);
            trace("start host %d", static_cast<int>(restarts_.begin()->second));
            fleet_.start(restarts_.begin()->second);
            restarts_.erase(restarts_.begin());
        }
    }

    std::uint64_t seed_;
    torture_options options_;
    counts& total_;
    base::random_source random_;
    flow_fleet fleet_;
    revision_maker revisions_;
    std::map<base::endpoint, std::string> owners_;
    /// The revision that started to drain each upstream.
    std::map<base::endpoint, std::uint64_t> draining_since_;
    /// Upstreams in the newest revision and its lineage.
    std::set<base::endpoint> listed_upstreams_;
    std::set<base::endpoint> failed_upstreams_;
    std::set<base::endpoint> ever_failed_upstreams_;
    std::set<std::size_t> leaving_hosts_;
    std::multimap<base::time_point, std::size_t> restarts_;
    std::vector<open_flow> flows_;
    base::time_point next_event_{};
    std::uint32_t last_caller_ = 0;
    std::uint32_t last_upstream_ = 0;
    std::uint32_t last_port_ = 0;
    base::time_point addresses_in_force_at_{};
};

} // namespace

} // namespace galenabay::bench

int main(int argc, char** argv)
{
    using namespace galenabay::bench;
    const auto options = parse_torture_options(argc, argv);
    counts total;
    for (std::uint64_t seed = options.first; seed < options.first + options.count; ++seed)
    {
        torture_run{seed, options, total}.run();
    }
    const auto number = [](std::uint64_t value) { return static_cast<unsigned long long>(value); };
    std::printf("torture_flow seeds=%llu packets=%llu flows=%llu relayed=%llu changes=%llu host_faults=%llu "
                "upstream_faults=%llu refused=%llu orphans=%llu ended=%llu violations=%llu\n",
                number(options.count), number(total.packets), number(total.flows), number(total.relayed),
                number(total.changes), number(total.host_faults), number(total.upstream_faults), number(total.refused),
                number(total.orphans), number(total.ended), number(total.violations));
    return total.violations == 0 ? 0 : 1;
}
