#include "fault_injector.hpp"

#include <array>

namespace galenabay::edge_soak
{

namespace
{

/// A crashed upstream stays registered for three heartbeats of 1.2 s.
constexpr double registration_ttl_s = 3.6;
constexpr double drain_time_s = 3.5;
constexpr std::size_t min_upstreams = 3;

} // namespace

fault_injector::fault_injector(host_processes& hosts, store_stub& store, upstream_fleet& upstreams,
                               fault_schedule& schedule, const base::endpoint& noise, std::uint64_t seed,
                               bool starting_rate)
    : upstreams_{upstreams}, schedule_{schedule}, host_faults_{schedule, hosts, seed}, store_faults_{schedule, store,
                                                                                                     hosts, upstreams,
                                                                                                     starting_rate},
      odd_writer_{schedule, store}, port_noise_{schedule, hosts, noise}
{
}

void fault_injector::begin_before_start()
{
    store_faults_.begin_unavailable();
    odd_writer_.begin_before_start();
}

void fault_injector::run(double now, double last_fault_s)
{
    schedule_.run(now);
    if (now >= next_fault_ && now < last_fault_s)
    {
        next_fault_ = now + schedule_.between(0.2, 2.0);
        begin_fault(now);
    }
}

void fault_injector::begin_fault(double now)
{
    switch (schedule_.random.below(12))
    {
    case 0:
    case 1:
    case 2:
    case 3:
        host_faults_.begin(now);
        break;
    case 4:
    case 5:
        store_faults_.begin(now);
        break;
    case 6:
        if (schedule_.begin("configuration"))
        {
            store_faults_.change_configuration();
        }
        break;
    case 7:
        odd_writer_.begin(now);
        break;
    case 8:
        port_noise_.begin(now);
        break;
    default:
        upstream_fault(now);
        break;
    }
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
    return alive.size() <= min_upstreams ? upstreams_.size() : alive[schedule_.random.below(alive.size())];
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
    static constexpr std::array names{"upstream_crashed", "upstream_restarted", "upstream_drained", "address_reused",
                                      "upstream_grey"};
    const auto selected = schedule_.random.below(names.size());
    if (!schedule_.begin(names[selected]))
    {
        return;
    }
    switch (selected)
    {
    case 4:
        upstreams_.set_lost_share(index, 0.3 + 0.5 * schedule_.random.unit());
        schedule_.add(now + 1.0 + 4.0 * schedule_.random.unit(),
                      [this, index](double) { upstreams_.set_lost_share(index, 0); });
        break;
    case 0:
        upstreams_.crash(index);
        schedule_.add(now + registration_ttl_s, [this, index](double) { upstreams_.unregister(index); });
        schedule_.add(now + registration_ttl_s + 1,
                      [this, service, data_centre](double) { upstreams_.start(service, data_centre); });
        break;
    case 1:
        upstreams_.crash(index);
        schedule_.add(now + 0.5, [this, index](double) { upstreams_.restart(index); });
        break;
    case 2:
        upstreams_.start(service, data_centre);
        upstreams_.drain(index, now);
        schedule_.add(now + 2 * drain_time_s,
                      [this, index](double)
                      {
                          upstreams_.crash(index);
                          upstreams_.unregister(index);
                      });
        break;
    default:
        upstreams_.crash(index);
        schedule_.add(now + 2, [this, index, service](double)
                      { upstreams_.replace(index, service == "feed" ? "vault" : "feed"); });
        schedule_.add(now + 2.5, [this, service, data_centre](double) { upstreams_.start(service, data_centre); });
        break;
    }
}

} // namespace galenabay::edge_soak
