#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/membership/host.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace galenabay::revision
{

/// Status of one host, as known to the writer of the document. Plain value.
struct host_status
{
    std::string name;
    /// Empty: the data centre of the document. Another one when none of its hosts
    /// reaches the platform and this document includes them.
    std::string data_centre;
    membership::host_state state = membership::host_state::starting;
    /// Number of the revision in force; 0: none.
    std::uint64_t revision = 0;
    bool platform_reachable = false;
    /// Whole seconds since the host's last report; 0 while reports arrive in time.
    std::uint64_t silent_s = 0;

    friend auto operator<=>(const host_status&, const host_status&) = default;
};

/// Status of all hosts of one data centre, as written to the platform by one of
/// them. Plain value.
struct status_document
{
    std::string data_centre;
    /// Host that wrote it.
    std::string writer;
    std::uint64_t incarnation = 0;
    /// Seconds since 1970, for display only.
    std::int64_t written_at = 0;
    /// Sorted by name.
    std::vector<host_status> hosts;

    friend auto operator<=>(const status_document&, const status_document&) = default;
};

/// Key prefix of status documents; the data centre follows.
inline constexpr const char* status_prefix = "status/";

} // namespace galenabay::revision
