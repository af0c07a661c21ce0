#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/result.hpp>
#include <galenabay/flow/flow_record.hpp>
#include <galenabay/membership/host.hpp>

#include <generated/peer.capnp.h>

#include <span>
#include <vector>

namespace galenabay::daemon
{

/// Whether a report carries the fields that do not change while a process runs.
enum class place_fields
{
    included,
    omitted,
};

/// Writes a report into an RPC message.
void write_report(const membership::host_report& report, place_fields place, schema::HostReport::Builder out);

/// Reads a report. Fields that were omitted are taken from `known`, the last
/// report of the same host (may be null). Errors: `malformed`, `out_of_range`
/// (name too long), `stale` (fields omitted, and not known for this incarnation).
base::result<membership::host_report> read_report(schema::HostReport::Reader in, const membership::host_report* known);

/// Writes flow records into an RPC message.
void write_records(std::span<const flow::flow_record> records, schema::FlowBatch::Builder out);

/// Reads flow records. Errors: `out_of_range` for more than 65536 records, which no bandwidth budget allows.
base::result<std::vector<flow::flow_record>> read_records(schema::FlowBatch::Reader in);

} // namespace galenabay::daemon
