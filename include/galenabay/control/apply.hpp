#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/config/service_set.hpp>
#include <galenabay/platform/object_client.hpp>
#include <galenabay/platform/revision_store.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace galenabay::control
{

/// Name to force when hosts have a newer revision in force than the platform.
inline constexpr const char* restored_platform = "restored-platform";

struct apply_request
{
    config::service_set set;
    std::string author;
    /// Seconds since 1970, for display only.
    std::int64_t accepted_at = 0;
    /// Version of the manifest that was planned on; nullopt: whatever is there.
    std::optional<std::uint64_t> expected_version;
    /// Hazards that the operator accepts, by name.
    std::vector<std::string> forced;
};

struct apply_outcome
{
    /// False when an equal set was in force already and nothing was written.
    bool changed = false;
    platform::stored_revision stored;
};

/// Accepts a set as the next revision.
///
/// Errors: `conflict` (someone else's revision came first; the detail says who,
/// when and which entries differ), `refused` (a hazard that is not forced, or
/// hosts have a newer revision than the platform), else as `revision_store`.
base::result<apply_outcome> apply(const platform::revision_store& store, const platform::object_client& client,
                                  const apply_request& request);

} // namespace galenabay::control
