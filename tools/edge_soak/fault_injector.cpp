#include "fault_injector.hpp"

#include <csignal>

#include <array>
#include <utility>

namespace galenabay::edge_soak
{

namespace
{

/// A crashed upstream stays registered for three heartbeats of 1.2 s.
constexpr double registration_ttl_s = 3.6;
constexpr double drain_time_s = 3.5;
constexpr std::size_t min_upstreams = 3;

} // namespace

std::string configuration_text(std::uint64_t version, std::size_t extra)
{
    std::string routes =
        R"({"name":"feed","host":"198.18.0.1","path-prefix":"/8443/","type":"idempotent","service":"feed"},)"
        R"({"name":"vault","host":"198.18.0.1","path-prefix":"/8080/","type":"download","service":"vault"})";
    for (std::size_t i = 0; i < extra; ++i)
    {
        routes += R"(,{"name":"x)" + std::to_string(i) + R"(","host":"198.18.1.1","path-prefix":"/)" +
                  std::to_string(1000 + i) + R"(/","type":"idempotent","service":"feed"})";
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
           R"(],"services":[],"limits":{"idle-timeout-ms":15000}})";
}

fault_injector::fault_injector(host_processes& hosts, store_stub& store, upstream_fleet& upstreams,
                               soak_results& results, std::uint64_t seed)
    : hosts_{hosts}, store_{store}, upstreams_{upstreams}, results_{results}, random_{seed}
{
}

void fault_injector::run(double now, double last_fault_s)
{
    while (!scheduled_.empty() && scheduled_.begin()->first <= now)
    {
        const auto action = std::move(scheduled_.begin()->second);
        scheduled_.erase(scheduled_.begin());
        action(now);
    }
    if (now >= next_fault_ && now < last_fault_s)
    {
        next_fault_ = now + 0.3 + 2.5 * random_.unit();
        begin_fault(now);
    }
}

void fault_injector::begin_fault(double now)
{
    switch (random_.below(10))
    {
    case 0:
    case 1:
    case 2:
        host_fault(now);
        break;
    case 3:
        store_fault_for(now, std::array{store_fault::busy, store_fault::silent, store_fault::slow}[random_.below(3)],
                        "store_away");
        break;
    case 4:
        ++results_.faults["store_compacted"];
        store_.compact();
        break;
    case 5:
        ++results_.faults["configuration"];
        change_configuration();
        break;
    case 6:
        restore_store(now);
        break;
    default:
        upstream_fault(now);
        break;
    }
}

void fault_injector::host_fault(double now)
{
    const auto host = random_.below(hosts_.size());
    switch (random_.below(4))
    {
    case 0:
        ++results_.faults["host_killed"];
        hosts_.expect_exit(host);
        hosts_.signal(host, SIGKILL);
        break;
    case 1:
        ++results_.faults["host_stopped"];
        hosts_.expect_exit(host);
        hosts_.signal(host, SIGTERM);
        break;
    case 2:
        ++results_.faults["host_paused"];
        hosts_.signal(host, SIGSTOP);
        schedule(now + 0.2 + 2.0 * random_.unit(), [this, host](double) { hosts_.signal(host, SIGCONT); });
        break;
    default:
        ++results_.faults["host_reloaded"];
        hosts_.write_settings(host);
        hosts_.signal(host, SIGHUP);
        break;
    }
}

void fault_injector::store_fault_for(double now, store_fault fault, const char* name)
{
    ++results_.faults[name];
    store_.set_fault(fault);
    schedule(now + 0.5 + 4.0 * random_.unit(), [this](double) { store_.set_fault(store_fault::none); });
}

void fault_injector::restore_store(double now)
{
    if (std::exchange(restore_pending_, true))
    {
        return;
    }
    ++results_.faults["store_restored"];
    store_.save_copy();
    const auto lost_at = now + 1.0 + 6.0 * random_.unit();
    schedule(lost_at, [this](double) { store_.set_fault(store_fault::silent); });
    schedule(lost_at + 0.2 + 2.0 * random_.unit(),
             [this](double at)
             {
                 store_.restore();
                 store_.set_fault(store_fault::none);
                 if (!configuration_.empty())
                 {
                     store_.put("config", "main", configuration_);
                 }
                 upstreams_.register_again();
                 schedule(at + registration_ttl_s, [this](double) { upstreams_.unregister_dead(); });
                 restore_pending_ = false;
             });
}

std::size_t fault_injector::pick_upstream()
{
    std::vector<std::size_t> alive;
    for (std::size_t i = 0; i < upstreams_.size(); ++i)
    {
        if (upstreams_.at(i).alive && !upstreams_.at(i).draining)
        {
            alive.push_back(i);
        }
    }
    return alive.size() <= min_upstreams ? upstreams_.size() : alive[random_.below(alive.size())];
}

void fault_injector::upstream_fault(double now)
{
    const auto index = pick_upstream();
    if (index == upstreams_.size())
    {
        return;
    }
    const auto service = upstreams_.at(index).service;
    const auto data_centre = upstreams_.at(index).data_centre;
    switch (random_.below(5))
    {
    case 4:
        ++results_.faults["upstream_grey"];
        upstreams_.set_lost_share(index, 0.3 + 0.5 * random_.unit());
        schedule(now + 1.0 + 4.0 * random_.unit(), [this, index](double) { upstreams_.set_lost_share(index, 0); });
        break;
    case 0:
        ++results_.faults["upstream_crashed"];
        upstreams_.crash(index);
        schedule(now + registration_ttl_s, [this, index](double) { upstreams_.unregister(index); });
        schedule(now + registration_ttl_s + 1,
                 [this, service, data_centre](double) { upstreams_.start(service, data_centre); });
        break;
    case 1:
        ++results_.faults["upstream_restarted"];
        upstreams_.crash(index);
        schedule(now + 0.5, [this, index](double) { upstreams_.restart(index); });
        break;
    case 2:
        ++results_.faults["upstream_drained"];
        upstreams_.start(service, data_centre);
        upstreams_.drain(index, now);
        schedule(now + 2 * drain_time_s,
                 [this, index](double)
                 {
                     upstreams_.crash(index);
                     upstreams_.unregister(index);
                 });
        break;
    default:
        ++results_.faults["address_reused"];
        upstreams_.crash(index);
        schedule(now + 2,
                 [this, index, service](double) { upstreams_.replace(index, service == "feed" ? "vault" : "feed"); });
        schedule(now + 2.5, [this, service, data_centre](double) { upstreams_.start(service, data_centre); });
        break;
    }
}

void fault_injector::change_configuration()
{
    version_ += 1 + random_.below(4);
    configuration_ = configuration_text(version_, random_.below(60));
    store_.put("config", "main", configuration_);
}

} // namespace galenabay::edge_soak
