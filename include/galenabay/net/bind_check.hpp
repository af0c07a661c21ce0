#pragma once

#include <galenabay/base/endpoint.hpp>

namespace galenabay::net
{

enum class transport
{
    udp,
    tcp,
};

/// Binds a socket to `local`, and listens for TCP, then closes it. Returns the error number of the first call that
/// failed, or 0.
int try_to_bind(const base::endpoint& local, transport protocol);

} // namespace galenabay::net
