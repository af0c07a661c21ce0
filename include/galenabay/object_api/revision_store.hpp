#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/config/accepted_revision.hpp>
#include <galenabay/object_api/object_client.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenabay::object_api
{

/// A revision and the platform version of the manifest that names it.
struct stored_revision
{
    std::uint64_t manifest_version = 0;
    config::accepted_revision revision;
};

/// Metadata of a revision in the history. Plain value.
struct history_entry
{
    std::uint64_t number = 0;
    config::digest digest{};
    std::string author;
    /// Seconds since 1970.
    std::int64_t accepted_at = 0;

    friend auto operator<=>(const history_entry&, const history_entry&) = default;
};

/// Metadata of the newest revision and the platform version of the manifest that holds it.
struct stored_entry
{
    std::uint64_t manifest_version = 0;
    history_entry entry;
};

/// Number of earlier revisions whose content the platform retains.
constexpr std::size_t max_history = 20;

/// Reads and writes revisions through the object API. A revision is stored as chunks
/// that are named by their content; a conditional write of the manifest then commits
/// it. Caches the chunks of the revision read last. Calls block; use it from one
/// thread at a time.
///
///     config/manifest         {"number","digest","name","author","accepted_at","chunks":[SHA-256…]}
///     config/chunks/SHA-256   one chunk, Base64
///     config/history/NUMBER   manifest of an earlier revision
class revision_store
{
public:
    /// `retry_timeout`: how long a write is retried while the platform is slow or
    /// unavailable.
    explicit revision_store(object_client client,
                            std::chrono::milliseconds retry_timeout = std::chrono::milliseconds{15'000});
    revision_store(revision_store&&) noexcept;
    revision_store& operator=(revision_store&&) noexcept;
    ~revision_store();

    /// Returns the newest accepted revision; nullopt if none was ever accepted.
    base::result<std::optional<stored_revision>> read() const;

    /// Waits for at most `wait` until the manifest's version differs from `after`;
    /// returns nullopt if it did not change. A revision with number 0 means that the
    /// platform lost the manifest that it had.
    base::result<std::optional<stored_revision>> watch(std::uint64_t after, std::chrono::milliseconds wait) const;

    /// Waits for at most `wait` until the platform holds a revision with a number other
    /// than `after`. Reads at once if `after` is not the number that this object read
    /// last or if `wait` is 0. Returns nullopt if nothing changed or no revision was
    /// ever accepted.
    base::result<std::optional<stored_revision>> fetch(std::uint64_t after, std::chrono::milliseconds wait) const;

    /// Accepts `next` if the manifest's version is `expected` (0: there is no manifest),
    /// then removes the chunks that no retained revision references. If the answer to
    /// a write is lost, the outcome is determined by reading back. Errors: `conflict`,
    /// with author, time and number of the revision that was accepted instead as
    /// detail; `timeout` or `unavailable` if the outcome is unknown after the retries.
    base::result<stored_revision> accept(const config::accepted_revision& next, std::uint64_t expected) const;

    /// Returns the metadata of the newest accepted revision, which is in the manifest.
    base::result<std::optional<history_entry>> newest() const;
    /// As `newest`, with the version that a write which replaces the revision expects, also
    /// when the content of the revision is lost.
    base::result<std::optional<stored_entry>> newest_entry() const;

    /// Returns the retained revisions, newest first, including the one in force.
    base::result<std::vector<history_entry>> history() const;

    /// Reads the content of a retained revision. Errors: `not_found`.
    base::result<config::accepted_revision> read_revision(std::uint64_t number) const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace galenabay::object_api
