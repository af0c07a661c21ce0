#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/config/service_set.hpp>

#include <generated/config.capnp.h>

namespace galenabay::config
{

/// The functions below convert between value types and schema messages. Reading
/// checks every address and the length of every list. Errors: `malformed`,
/// `out_of_range`.
base::result<upstream> read_upstream(schema::Upstream::Reader reader);
base::result<service> read_service(schema::Service::Reader reader);
base::result<service_set> read_service_set(schema::ServiceSet::Reader reader);

void write_upstream(const upstream& source, schema::Upstream::Builder target);
void write_service(const service& source, schema::Service::Builder target);
void write_service_set(const service_set& source, schema::ServiceSet::Builder target);

/// Returns the set with its services, and the upstreams of each, sorted by name.
service_set sorted(service_set set);

} // namespace galenabay::config
