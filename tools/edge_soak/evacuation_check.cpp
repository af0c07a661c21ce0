#include "evacuation_check.hpp"

#include <algorithm>

namespace galenabay::edge_soak
{

namespace
{

constexpr double bound_s = evacuation_bound_ms / 1000.0;
/// A data centre that could take new flows for this time gets one before its hosts send
/// `max_sent_elsewhere` to others.
constexpr double return_bound_s = bound_s + 2;
constexpr std::uint64_t max_sent_elsewhere = 8;

} // namespace

evacuation_check::evacuation_check(const evacuation_operator& evacuations, const host_processes& hosts,
                                   upstream_fleet& upstreams, soak_results& results)
    : evacuations_{evacuations}, hosts_{hosts}, upstreams_{upstreams}, results_{results}
{
    upstreams.on_open([this](const upstream& entry, const wire_packet&, const base::endpoint& from, double now)
                      { on_open(entry, from, now); });
}

void evacuation_check::run(double now)
{
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        const auto data_centre = hosts_.data_centre_of(i);
        if (!takes_flows(data_centre, now))
        {
            flows_[data_centre] = {.without_since = now};
        }
    }
}

bool evacuation_check::takes_flows(const std::string& data_centre, double now) const
{
    if (evacuations_.evacuated().contains(data_centre) || !evacuations_.store_is_readable(now))
    {
        return false;
    }
    // Hosts may avoid an upstream that has lost packets, and all of them while it is the only one.
    constexpr std::size_t enough = 2;
    std::size_t usable = 0;
    for (std::size_t i = 0; i < upstreams_.size(); ++i)
    {
        const auto& entry = upstreams_.at(i);
        usable += entry.data_centre == data_centre && entry.service == "feed" && entry.alive && !entry.draining &&
                          entry.lost_share == 0
                      ? 1
                      : 0;
    }
    return usable >= enough;
}

void evacuation_check::on_open(const upstream& entry, const base::endpoint& from, double now)
{
    const auto host = hosts_.find(from);
    if (host < hosts_.size())
    {
        check_evacuated(entry, host, now);
        check_taken_back(entry, hosts_.data_centre_of(host), now);
    }
}

void evacuation_check::check_evacuated(const upstream& entry, std::size_t host, double now)
{
    const auto found = evacuations_.evacuated().find(entry.data_centre);
    if (found == evacuations_.evacuated().end())
    {
        return;
    }
    const auto& evacuation = found->second;
    auto by = hosts_.started_at(host) >= evacuation.lacking_since
                  ? std::max(evacuation.in_force_by, evacuation.in_force_again_by)
                  : evacuation.in_force_by;
    // A host that did not run meanwhile has the bound from its return on.
    if (const auto [from, until] = hosts_.held_up(host); from < by)
    {
        by = std::max(by, until + bound_s);
    }
    if (now > by)
    {
        results_.violation("no_new_flow_in_evacuated_data_centre", now,
                           "upstream=" + entry.id + " evacuated=" + entry.data_centre + " host=host-" +
                               std::to_string(host) + " in_force_by=" + std::to_string(by));
    }
}

void evacuation_check::check_taken_back(const upstream& entry, const std::string& data_centre, double now)
{
    flows_[entry.data_centre] = {.without_since = now};
    auto& flows = flows_[data_centre];
    if (entry.data_centre == data_centre || entry.service != "feed" || now - flows.without_since < return_bound_s ||
        ++flows.sent_elsewhere < max_sent_elsewhere)
    {
        return;
    }
    results_.violation("data_centre_gets_new_flows", now,
                       "data_centre=" + data_centre + " without_since=" + std::to_string(flows.without_since));
    flows = {.without_since = now};
}

} // namespace galenabay::edge_soak
