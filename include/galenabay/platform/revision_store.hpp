#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/config/accepted_revision.hpp>
#include <galenabay/platform/object_client.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace galenabay::platform
{

/// A revision and the platform version of the manifest that names it.
struct stored_revision
{
    std::uint64_t manifest_version = 0;
    config::accepted_revision revision;
};

/// Reads and writes revisions through the object API: chunks named by content,
/// then one conditional write of the manifest, which is the commit point.
/// Blocking; one thread at a time.
class revision_store
{
public:
    explicit revision_store(object_client client);

    /// The newest accepted revision; nullopt when none was ever accepted.
    base::result<std::optional<stored_revision>> read() const;

    /// Waits until the manifest's version is newer than `after`; nullopt when
    /// nothing changed in time.
    base::result<std::optional<stored_revision>> watch(std::uint64_t after, std::chrono::milliseconds wait) const;

    /// Accepts `next` on top of the manifest version `expected` (0: first).
    /// Errors: `conflict`; `timeout` is resolved by reading back.
    base::result<stored_revision> accept(const config::accepted_revision& next, std::uint64_t expected) const;

private:
    object_client client_;
};

} // namespace galenabay::platform
