#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/steer/packet_header.hpp>

namespace galenabay::steer
{

/// Result of one attempt to connect to an upstream.
enum class probe_result
{
    /// The upstream accepted the connection.
    reachable,
    /// The upstream's machine refused the connection: nothing listens on the port.
    refused,
    /// No answer in time: the upstream or the path to it is down.
    unreachable,
};

/// Returns the lower-case name that logs and metrics use; it never changes.
const char* name_of(probe_result result);

/// Request for one attempt to connect to an upstream suspected to be down. Plain value.
struct probe_request
{
    upstream_token token = 0;
    base::endpoint address;
};

} // namespace galenabay::steer
