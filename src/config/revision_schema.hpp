#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/config/accepted_revision.hpp>

#include <generated/revision.capnp.h>

#include <map>
#include <string>
#include <vector>

namespace galenabay::config
{

/// Earlier states by service name, as in `accepted_revision::lineage`.
using lineage_map = std::map<std::string, std::vector<generation>>;

/// Writes services, and a lineage that may contain further services, to a part.
void write_part(const std::vector<service>& services, const lineage_map& lineage, schema::RevisionPart::Builder target);

/// Adds the services and lineage of a part to a revision. Errors: `malformed`,
/// `out_of_range`.
base::result<void> read_part(schema::RevisionPart::Reader reader, accepted_revision& revision);

/// Reads a digest. Errors: `malformed` (wrong length).
base::result<digest> read_digest(capnp::Data::Reader reader);

/// Sorts and validates the set and compares it with the digest. Errors:
/// `corrupt`, `malformed`, those of `validate_structure`.
base::result<accepted_revision> verify_revision(accepted_revision revision);

} // namespace galenabay::config
