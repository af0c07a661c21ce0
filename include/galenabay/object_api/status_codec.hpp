#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/revision/status_document.hpp>

#include <string>

namespace galenabay::object_api
{

/// Returns the JSON form of a status document. Hosts that differ in nothing but their
/// name form one group; a group of another data centre has its name as "data_centre":
///
///     {"data_centre","writer","incarnation","written_at",
///      "groups":[{"state","revision","platform_reachable","silent_s","hosts":[NAME…]}]}
std::string encode_status(const revision::status_document& document);

/// Parses the JSON form of a status document. Errors: `malformed`.
base::result<revision::status_document> decode_status(const std::string& text);

/// Returns "starting", "ready" or "leaving".
const char* name_of(membership::host_state state);

} // namespace galenabay::object_api
