#pragma once

#include <galenabay/base/endpoint.hpp>

#include <sys/socket.h>

namespace galenabay::net
{

/// Converts an endpoint to a socket address; returns the size of the address in bytes.
socklen_t to_sockaddr(const base::endpoint& value, sockaddr_storage& out);

/// Converts a socket address to an endpoint.
base::endpoint from_sockaddr(const sockaddr_storage& in);

} // namespace galenabay::net
