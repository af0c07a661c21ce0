#pragma once

#include <galenabay/peers/host_status.hpp>
#include <galenabay/peers/load_sums.hpp>

#include <generated/edge.capnp.h>

#include <vector>

namespace galenabay::peers
{

// Encoding of loads, votes and members for `message_codec`. A list is initialised with the
// number of elements before it is written.

void write_loads(const std::vector<upstream_load>& from, capnp::List<schema::UpstreamLoad>::Builder out);
std::vector<upstream_load> read_loads(capnp::List<schema::UpstreamLoad>::Reader in);
void write_members(const std::vector<member>& from, capnp::List<schema::Member>::Builder out);
std::vector<member> read_members(capnp::List<schema::Member>::Reader in);
void write_summary(const load_summary& from, schema::LoadSummary::Builder out);
load_summary read_summary(schema::LoadSummary::Reader in);
void write_digest(const load_digest& from, schema::LoadDigest::Builder out);
load_digest read_digest(schema::LoadDigest::Reader in);

} // namespace galenabay::peers
