#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/revision/status_document.hpp>

#include <string>

namespace galenabay::platform
{

/// JSON form of a status document. Hosts in the same state are written as one
/// list of names; a group of another data centre names it as "data_centre":
///
///     {"data_centre","writer","incarnation","written_at",
///      "groups":[{"state","revision","platform_reachable","silent_s","hosts":[NAME…]}]}
std::string encode_status(const revision::status_document& document);

/// Errors: `malformed`.
base::result<revision::status_document> decode_status(const std::string& text);

/// "starting", "ready" or "leaving".
const char* name_of(membership::host_state state);

} // namespace galenabay::platform
