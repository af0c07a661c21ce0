#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/config/accepted_revision.hpp>
#include <galenabay/platform/object_client.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenabay::platform
{

/// A revision and the platform version of the manifest that names it.
struct stored_revision
{
    std::uint64_t manifest_version = 0;
    config::accepted_revision revision;
};

/// What the history keeps of a revision. Plain value.
struct history_entry
{
    std::uint64_t number = 0;
    config::digest digest{};
    std::string author;
    /// Seconds since 1970.
    std::int64_t accepted_at = 0;

    friend auto operator<=>(const history_entry&, const history_entry&) = default;
};

/// Earlier revisions whose content the platform keeps.
constexpr std::size_t max_history = 20;

/// Reads and writes revisions through the object API: pieces named by content,
/// then one conditional write of the manifest, which is the commit point.
/// Remembers the pieces that it read last. Blocking; one thread at a time.
///
///     config/manifest         {"number","digest","name","author","accepted_at","chunks":[SHA-256…]}
///     config/chunks/SHA-256   one piece, Base64
///     config/history/NUMBER   manifest of an earlier revision
class revision_store
{
public:
    /// `retry_timeout`: how long a write is tried again while the platform is slow or
    /// down.
    explicit revision_store(object_client client,
                            std::chrono::milliseconds retry_timeout = std::chrono::milliseconds{15'000});
    revision_store(revision_store&&) noexcept;
    revision_store& operator=(revision_store&&) noexcept;
    ~revision_store();

    /// The newest accepted revision; nullopt when none was ever accepted.
    base::result<std::optional<stored_revision>> read() const;

    /// Waits until the manifest's version differs from `after`; nullopt when
    /// nothing changed in time. A revision with number 0 means that the platform
    /// has lost the manifest that it had.
    base::result<std::optional<stored_revision>> watch(std::uint64_t after, std::chrono::milliseconds wait) const;

    /// Waits until the platform holds another revision than number `after`, which
    /// this store read last; answers at once when it read another one last or when
    /// `wait` is 0. nullopt when nothing changed or nothing was ever accepted.
    base::result<std::optional<stored_revision>> fetch(std::uint64_t after, std::chrono::milliseconds wait) const;

    /// Accepts `next` on top of the manifest version `expected` (0: first), then
    /// removes pieces that no kept revision names. A lost answer is resolved by
    /// reading back. Errors: `conflict`, with author, time and number of the
    /// revision that won as detail; `timeout` or `unavailable` when the outcome
    /// could not be found out in time.
    base::result<stored_revision> accept(const config::accepted_revision& next, std::uint64_t expected) const;

    /// What the manifest says of the newest accepted revision, without its content.
    base::result<std::optional<history_entry>> newest() const;

    /// Kept revisions, newest first, the one in force included.
    base::result<std::vector<history_entry>> history() const;

    /// The content of a kept revision. Errors: `not_found`.
    base::result<config::accepted_revision> read_revision(std::uint64_t number) const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace galenabay::platform
