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

std::vector<outgoing_message> fleet_exchange::on_shortage(const host_status& own, base::time_point now)
{
    statuses_.advance(now, now);
    auto out = send_due(own, true, now);
    // The sums of a collector contain its own status.
    advance_pages(now);
    return out;
}

bool fleet_exchange::advance_pages(base::time_point now)
{
    if (!collects_ || relies_on_digests(now) || !pages_.can_advance(options_.early_pause, now))
    {
        return false;
    }
    const auto known = collected_demands(now);
    const auto is_short = [](const steer::demand_sum& sum)
    { return std::any_of(sum.services.begin(), sum.services.end(), steer::shows_shortage); };
    // Sums of other data centres are older, so that the total shows a shortage later than the local one. The first
    // collector tells the other data centres at once; the others wait for what these tell.
    const bool is_first = peers_.ranks_among(1, now);
    if (!is_short(known.total()) && !(is_first && is_short(known.local)))
    {
        return false;
    }
    pages_.advance(is_first ? now : now + options_.second_digest_delay, now);
    is_early_page_ = true;
    return true;
}

} // namespace galenabay::peers
