#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/config/service_set.hpp>
#include <galenabay/object_api/object_client.hpp>
#include <galenabay/object_api/revision_store.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace galenabay::control
{

/// Name that forces a set to be accepted although hosts have a newer revision in force
/// than the platform holds.
inline constexpr const char* restored_platform = "restored-platform";

/// Name that forces a set to replace one whose content the platform has lost, although what
/// flows depend on is then unknown.
inline constexpr const char* unreadable_set = "unreadable-set";

/// A set to apply, its author and the conditions under which it may be accepted.
struct apply_request
{
    config::service_set set;
    std::string author;
    /// Seconds since 1970, for display only.
    std::int64_t accepted_at = 0;
    /// Version of the manifest that the plan was based on; nullopt: any version.
    std::optional<std::uint64_t> expected_version;
    /// Hazards that the operator accepts, by name.
    std::vector<std::string> forced;
};

/// Result of `apply`.
struct apply_outcome
{
    /// False if an equal set was the newest accepted one and nothing was written.
    bool changed = false;
    object_api::stored_revision stored;
};

/// Accepts a set as the next revision.
///
/// Errors: `conflict` (another operator's revision was accepted first; the detail has
/// its author, its time and the entries that differ), `refused` (a hazard that is not
/// forced, hosts have a newer revision than the platform, or the content of the accepted
/// set is lost), else those of `revision_store`.
base::result<apply_outcome> apply(const object_api::revision_store& store, const object_api::object_client& client,
                                  const apply_request& request);

} // namespace galenabay::control
