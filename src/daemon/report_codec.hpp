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

/// Writes a report into an RPC message.
void write_report(const membership::host_report& report, schema::HostReport::Builder out);

/// Errors: `malformed`, `out_of_range` (name too long).
base::result<membership::host_report> read_report(schema::HostReport::Reader in);

void write_records(std::span<const flow::flow_record> records, schema::FlowBatch::Builder out);

/// Errors: `out_of_range` when the batch is longer than any budget allows.
base::result<std::vector<flow::flow_record>> read_records(schema::FlowBatch::Reader in);

} // namespace galenabay::daemon
