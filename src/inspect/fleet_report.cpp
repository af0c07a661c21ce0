#include <galenabay/inspect/fleet_report.hpp>

#include <algorithm>

namespace galenabay::inspect
{

namespace
{

std::string to_string(const steer::store_revision& revision)
{
    return std::to_string(revision.number) + " of epoch " + std::to_string(revision.epoch);
}

std::string describe(const host_answer& host, const store_contents& store)
{
    const auto label = "host " + (host.name.empty() ? "" : host.name + " in " + host.data_centre + " at ") +
                       host.address.to_string() + ": ";
    if (host.failure)
    {
        return label + "no answer (" + base::name_of(host.failure->code()) + " in " + host.failure->step() + ": " +
               host.failure->detail() + ")";
    }
    return label + "configuration " + std::to_string(host.configuration_version) + ", " +
           std::to_string(host.upstreams) + " upstreams at revision " + to_string(host.upstreams_revision) +
           (is_current(host, store) ? "" : ": lags");
}

} // namespace

bool is_current(const host_answer& host, const store_contents& store)
{
    return !host.failure && host.configuration_version >= store.configuration_version &&
           host.upstreams_revision.epoch >= store.revision.epoch;
}

bool is_current(const fleet_report& report)
{
    return std::all_of(report.hosts.begin(), report.hosts.end(),
                       [&](const host_answer& host) { return is_current(host, report.store); });
}

std::vector<std::string> describe(const fleet_report& report)
{
    const auto& store = report.store;
    std::vector<std::string> lines{"store: revision " + to_string(store.revision),
                                   store.configuration_version == 0
                                       ? "configuration: none"
                                       : "configuration: version " + std::to_string(store.configuration_version) +
                                             ", " + std::to_string(store.routes) + " routes"};
    for (const auto& [service, counts] : store.services)
    {
        lines.push_back("service " + service + ": " + std::to_string(counts.ready) + " upstreams ready, " +
                        std::to_string(counts.draining) + " draining");
    }
    for (const auto& name : store.unusable)
    {
        lines.push_back("unusable object: " + name);
    }
    for (const auto& host : report.hosts)
    {
        lines.push_back(describe(host, store));
    }
    return lines;
}

} // namespace galenabay::inspect
