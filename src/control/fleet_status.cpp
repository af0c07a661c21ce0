#include <galenabay/control/fleet_status.hpp>

#include <galenabay/object_api/status_codec.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace galenabay::control
{

namespace
{

base::result<std::vector<revision::status_document>> read_documents(const object_api::object_client& client)
{
    BOOST_OUTCOME_TRY(objects, client.list(revision::status_prefix));
    // Sorted by version, so that the document written last overrides earlier ones.
    std::sort(objects.begin(), objects.end(),
              [](const object_api::object& a, const object_api::object& b) { return a.version < b.version; });
    std::vector<revision::status_document> documents;
    for (const auto& row : objects)
    {
        BOOST_OUTCOME_TRY(document, object_api::decode_status(row.value));
        documents.push_back(std::move(document));
    }
    return documents;
}

std::map<std::string, host_summary> list_hosts(const std::vector<membership::listed_host>& rows)
{
    std::map<std::string, host_summary> hosts;
    for (const auto& row : rows)
    {
        if (!row.leaving)
        {
            host_summary line;
            line.name = row.name;
            line.data_centre = row.data_centre;
            hosts.emplace(row.name, line);
        }
    }
    return hosts;
}

/// Adds the status of a host from a document. The platform's list lags, so a host that
/// only a document lists counts as live as long as its reports arrive.
void add_report(std::map<std::string, host_summary>& hosts, const std::string& data_centre,
                const revision::host_status& status)
{
    auto found = hosts.find(status.name);
    if (status.state == membership::host_state::leaving)
    {
        if (found != hosts.end())
        {
            hosts.erase(found);
        }
        return;
    }
    if (found == hosts.end())
    {
        if (status.silent_s > 0)
        {
            return;
        }
        found = hosts.emplace(status.name, host_summary{}).first;
    }
    found->second = host_summary{status.name, data_centre, true, status};
}

} // namespace

base::result<fleet_status> read_fleet_status(const object_api::object_client& client)
{
    BOOST_OUTCOME_TRY(rows, client.hosts());
    BOOST_OUTCOME_TRY(documents, read_documents(client));
    auto hosts = list_hosts(rows);
    fleet_status fleet;
    for (const auto& document : documents)
    {
        fleet.data_centres.push_back({document.data_centre, document.writer, document.written_at});
        for (const auto& status : document.hosts)
        {
            add_report(hosts, status.data_centre.empty() ? document.data_centre : status.data_centre, status);
        }
    }
    for (auto& [name, line] : hosts)
    {
        fleet.hosts.push_back(std::move(line));
    }
    return fleet;
}

base::result<std::uint64_t> newest_in_force(const object_api::object_client& client)
{
    BOOST_OUTCOME_TRY(documents, read_documents(client));
    std::uint64_t newest = 0;
    for (const auto& document : documents)
    {
        for (const auto& status : document.hosts)
        {
            newest = std::max(newest, status.revision);
        }
    }
    return newest;
}

bool has_in_force(const host_summary& host, std::uint64_t number)
{
    return host.reported && host.status.silent_s == 0 && host.status.revision >= number;
}

std::vector<host_summary> lagging(const fleet_status& fleet, std::uint64_t number)
{
    std::vector<host_summary> behind;
    std::copy_if(fleet.hosts.begin(), fleet.hosts.end(), std::back_inserter(behind),
                 [&](const host_summary& host) { return !has_in_force(host, number); });
    return behind;
}

std::string describe(const host_summary& host)
{
    if (!host.reported)
    {
        return host.name + " (no status yet)";
    }
    if (host.status.silent_s > 0)
    {
        return host.name + " (no report for " + std::to_string(host.status.silent_s) + " s, last revision " +
               std::to_string(host.status.revision) + ")";
    }
    return host.name + " (revision " + std::to_string(host.status.revision) +
           (host.status.platform_reachable ? ")" : ", cannot reach the platform)");
}

} // namespace galenabay::control
