#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/platform/object_client.hpp>
#include <galenabay/revision/status_document.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace galenabay::control
{

/// One live host as the platform's list and the status documents show it.
struct host_summary
{
    std::string name;
    std::string data_centre;
    /// False when no status document names the host yet.
    bool reported = false;
    revision::host_status status;

    friend auto operator<=>(const host_summary&, const host_summary&) = default;
};

/// One status document.
struct data_centre_summary
{
    std::string name;
    std::string writer;
    /// Seconds since 1970 by the writer's clock.
    std::int64_t written_at = 0;
};

struct fleet_status
{
    /// Live hosts that are not leaving, sorted by name.
    std::vector<host_summary> hosts;
    std::vector<data_centre_summary> data_centres;
};

/// Reads the list of hosts and all status documents: two calls.
base::result<fleet_status> read_fleet_status(const platform::object_client& client);

/// Largest revision number that any status document reports; 0: none.
base::result<std::uint64_t> newest_in_force(const platform::object_client& client);

bool has_in_force(const host_summary& host, std::uint64_t number);

/// Hosts that do not have `number` or a newer revision in force.
std::vector<host_summary> lagging(const fleet_status& fleet, std::uint64_t number);

/// "NAME (revision 6)", "NAME (silent for 12 s)", "NAME (no status yet)".
std::string describe(const host_summary& host);

} // namespace galenabay::control
