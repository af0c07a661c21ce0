#include "flow_torture.hpp"

#include <algorithm>

namespace galenabay::bench
{

namespace
{

constexpr base::duration run_duration{150'000'000};
constexpr base::duration max_drain_delay{3'000'000};
constexpr std::uint32_t idle_timeout_s = 90;
constexpr std::uint64_t max_gap_ms = 25'000;
constexpr std::size_t flow_count = 250;
/// An established flow counts as broken after this many refusals in a row.
constexpr int max_consecutive_refusals = 6;

} // namespace

torture_run::torture_run(std::uint64_t seed, const torture_options& options, counts& total)
    : seed_{seed}, options_{options}, total_{total}, random_{base::mix(seed, 77)}, fleet_{make_fleet_settings(seed)},
      revisions_{make_services()}
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

void torture_run::run()
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

fleet_settings torture_run::make_fleet_settings(std::uint64_t seed)
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

std::vector<config::service> torture_run::make_services()
{
    std::vector<config::service> services{make_service("parts", 5683, 1, 6), make_service("titles", 5684, 101, 3)};
    for (auto& service : services)
    {
        service.flows.idle_timeout_s = idle_timeout_s;
    }
    return services;
}

void torture_run::record_owners()
{
    for (const auto& service : revisions_.draft())
    {
        for (const auto& upstream : service.upstreams)
        {
            owners_[upstream.endpoint] = service.name;
        }
    }
}

base::endpoint torture_run::caller_of(std::uint64_t number)
{
    return base::endpoint::make_v4(0x0b000000 + static_cast<std::uint32_t>(number), 40000);
}

open_flow torture_run::make_flow()
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

void torture_run::send(open_flow& flow)
{
    ++total_.packets;
    flow.send_at =
        fleet_.now() + base::duration{static_cast<std::int64_t>(500 * flow.gap_ms + random_.below(flow.gap_ms) * 1000)};
    const auto result = fleet_.send(flow.caller, flow.address);
    total_.relayed += result.hops;
    if (options_.caller != 0 && flow.caller == caller_of(options_.caller))
    {
        std::printf("  %lld packet hosts=%zu,%zu hops=%d upstream=%s reason=%s\n",
                    static_cast<long long>(fleet_.now().time_since_epoch().count() / 1000), result.first_host,
                    result.last_host, result.hops, result.upstream.to_string().c_str(), flow::name_of(result.reason));
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

bool torture_run::check_delivery(const open_flow& flow, const delivery& result)
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

void torture_run::end_refused_flow(open_flow& flow, const delivery& result)
{
    if (flow.established && failed_upstreams_.count(flow.upstream) == 0 && listed_upstreams_.count(flow.upstream) != 0)
    {
        has_live_record(flow) ? violation("established flow refused", flow, result) : void(++total_.orphans);
    }
    flow = make_flow();
}

bool torture_run::has_live_record(const open_flow& flow) const
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

void torture_run::violation(const char* violated_rule, const open_flow& flow, const delivery& result)
{
    ++total_.violations;
    std::printf(
        "violation seed=%llu at_ms=%lld promise=\"%s\" caller=%s was=%s now=%s hops=%d hosts=%zu,%zu reason=%s\n",
        static_cast<unsigned long long>(seed_), static_cast<long long>(fleet_.now().time_since_epoch().count() / 1000),
        violated_rule, flow.caller.to_string().c_str(), flow.upstream.to_string().c_str(),
        result.upstream.to_string().c_str(), result.hops, result.first_host, result.last_host,
        flow::name_of(result.reason));
}

} // namespace galenabay::bench
