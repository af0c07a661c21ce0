#pragma once

#include <galenabay/base/endpoint.hpp>

#include <generated/peer.capnp.h>

namespace galenabay::wire
{

/// Writes an address and port into a peer message.
void write_endpoint(const base::endpoint& value, schema::Endpoint::Builder out);

/// Reads an address and port from a peer message.
base::endpoint read_endpoint(schema::Endpoint::Reader in);

} // namespace galenabay::wire
