#include <galenabay/peers/fleet_exchange.hpp>

#include <algorithm>
#include <utility>

// The sums of the demand for each service.
namespace galenabay::peers
{

namespace
{

/// Returns a sum that was received at `received_at`.
steer::demand_sum aged(steer::demand_sum sum, base::time_point received_at, base::time_point now)
{
    sum.age += now - received_at;
    return sum;
}

} // namespace

steer::fleet_demand fleet_exchange::collected_demands(base::time_point now) const
{
    steer::fleet_demand demands;
    demands.hosts = covered_hosts(now) + 1;
    // A host that sends no more is left out after as many intervals as one that is not live.
    const auto interval = collector_interval(options_.longest_status_interval, now);
    const auto lifetime =
        std::chrono::duration_cast<base::duration>(interval * options_.peers.status_timeout_intervals);
    peers_.add_demands(demands.local, lifetime, now);
    for (const auto& own : reported_demands_)
    {
        demands.local.add(own);
    }
    for (const auto& [data_centre, sums] : summaries_)
    {
        if (now - sums.demands_at < options_.demand_lifetime)
        {
            demands.remote.add(aged(sums.demands, sums.demands_at, now));
        }
    }
    return demands;
}

std::optional<steer::fleet_demand> fleet_exchange::demands(base::time_point now) const
{
    if (!relies_on_digests(now))
    {
        return collected_demands(now);
    }
    if (hosts_of(digests_, now) == 0 || digests_.demands_at == base::time_point{})
    {
        return std::nullopt;
    }
    return steer::fleet_demand{.local = aged(digests_.demands, digests_.demands_at, now),
                               .remote = aged(digests_.remote_demands, digests_.demands_at, now),
                               .hosts = covered_hosts(now),
                               .received_ago = now - digests_.demands_at};
}

} // namespace galenabay::peers
