#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/config/service_set.hpp>

#include <generated/config.capnp.h>

namespace galenabay::config
{

/// Conversions between value types and schema messages. Reading checks every
/// address and the bounds of every list. Errors: `malformed`, `out_of_range`.
base::result<upstream> read_upstream(schema::Upstream::Reader reader);
base::result<service> read_service(schema::Service::Reader reader);
base::result<service_set> read_service_set(schema::ServiceSet::Reader reader);

void write_upstream(const upstream& source, schema::Upstream::Builder target);
void write_service(const service& source, schema::Service::Builder target);
void write_service_set(const service_set& source, schema::ServiceSet::Builder target);

/// Sorts services by name and the upstreams of each by name.
service_set sorted(service_set set);

} // namespace galenabay::config
