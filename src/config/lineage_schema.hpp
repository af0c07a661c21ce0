#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/config/accepted_revision.hpp>

#include <generated/revision.capnp.h>

#include <string>
#include <vector>

namespace galenabay::config
{

/// Writes the generations of one service. Upstreams that `current` contains too
/// are written as indexes only.
void write_lineage(const std::string& service, const std::vector<generation>& generations,
                   const std::vector<upstream>& current, schema::ServiceLineage::Builder target);

/// Reads the generations of one service; `current` is as in `write_lineage`.
/// Errors: `malformed`, `out_of_range`.
base::result<std::vector<generation>> read_lineage(schema::ServiceLineage::Reader reader,
                                                   const std::vector<upstream>& current);

} // namespace galenabay::config
