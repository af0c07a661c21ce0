#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/object_api/object_client.hpp>
#include <galenabay/revision/status_document.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace galenabay::control
{

/// Status of a live host, from the platform's list and the status documents.
struct host_summary
{
    std::string name;
    std::string data_centre;
    /// False if no status document lists the host yet.
    bool reported = false;
    revision::host_status status;

    friend auto operator<=>(const host_summary&, const host_summary&) = default;
};

/// Data centre, writer and time of a status document.
struct data_centre_summary
{
    std::string name;
    std::string writer;
    /// Seconds since 1970 by the writer's clock.
    std::int64_t written_at = 0;
};

/// Status of all live hosts.
struct fleet_status
{
    /// Live hosts that are not leaving, sorted by name.
    std::vector<host_summary> hosts;
    std::vector<data_centre_summary> data_centres;
};

/// Reads the list of hosts and all status documents with two calls to the platform.
base::result<fleet_status> read_fleet_status(const object_api::object_client& client);

/// Returns the largest revision number in any status document; 0 if there is none.
base::result<std::uint64_t> newest_in_force(const object_api::object_client& client);

/// Returns true if the host reports `number` or a newer revision in force and its
/// reports have not stopped.
bool has_in_force(const host_summary& host, std::uint64_t number);

/// Returns the hosts that do not have `number` or a newer revision in force.
std::vector<host_summary> lagging(const fleet_status& fleet, std::uint64_t number);

/// Returns "NAME (revision 6)", "NAME (revision 6, cannot reach the platform)",
/// "NAME (no report for 12 s, last revision 6)" or "NAME (no status yet)".
std::string describe(const host_summary& host);

} // namespace galenabay::control
