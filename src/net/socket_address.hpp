#pragma once

#include <galenabay/base/endpoint.hpp>

#include <sys/socket.h>

namespace galenabay::net
{

/// Writes the kernel's form of an endpoint; returns its size in bytes.
socklen_t to_sockaddr(const base::endpoint& value, sockaddr_storage& out);

/// The endpoint that the kernel named.
base::endpoint from_sockaddr(const sockaddr_storage& in);

} // namespace galenabay::net
