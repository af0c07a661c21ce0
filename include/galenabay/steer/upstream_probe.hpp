#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/steer/packet_header.hpp>

namespace galenabay::steer
{

/// What one attempt to connect to an upstream showed.
enum class probe_result
{
    /// It accepted the connection: it runs and can be reached.
    reachable,
    /// Its host refused the connection: nothing listens there.
    refused,
    /// No answer in time: it is down, or the path to it is.
    unreachable,
};

/// Stable lower-case name of a result, as written to logs.
const char* name_of(probe_result result);

/// Asks for one attempt to connect to a suspected upstream. Plain value.
struct probe_request
{
    upstream_token token = 0;
    base::endpoint address;
};

} // namespace galenabay::steer
