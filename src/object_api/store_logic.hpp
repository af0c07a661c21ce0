#pragma once

#include "chunk_store.hpp"
#include "manifest.hpp"
#include "retry.hpp"

#include <galenabay/config/codec.hpp>
#include <galenabay/object_api/acceptance.hpp>
#include <galenabay/object_api/revision_store.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace galenabay::object_api
{

inline constexpr const char* manifest_key = "config/manifest";
inline constexpr const char* history_prefix = "config/history/";

/// Returns the key of a revision's manifest in the history; keys sort by number.
std::string history_key(std::uint64_t number);

/// A manifest and its version; version 0 if the platform has none.
struct stored_manifest
{
    std::uint64_t version = 0;
    manifest content;
};

/// Objects that no retained revision references once the next one is accepted.
struct unreferenced_objects
{
    std::vector<object> chunks;
    std::vector<object> history;
};

/// Returns the metadata of the revision that a manifest describes.
history_entry to_entry(const manifest& source);

/// Returns the manifest of a revision whose encoded form is `chunks`.
manifest manifest_of(const config::accepted_revision& revision, const std::vector<chunk>& chunks);

/// Implements `revision_store` for any client with the calls of `object_client` and any
/// clock with those of `steady_time`, so that tests can inject faults and virtual time.
template <typename Client, typename Time> class store_logic
{
public:
    store_logic(Client used, std::chrono::milliseconds retry_timeout)
        : client_{std::move(used)}, retry_{retry_timeout}, chunks_{client_, retry_}
    {
    }

    /// Implements `revision_store::read`, as the functions below implement their namesakes.
    base::result<std::optional<stored_revision>> read()
    {
        BOOST_OUTCOME_TRY(found, read_manifest());
        if (found.version == 0)
        {
            return std::optional<stored_revision>{};
        }
        return load(found);
    }

    base::result<std::optional<stored_revision>> watch(std::uint64_t after, std::chrono::milliseconds wait)
    {
        BOOST_OUTCOME_TRY(found, client_.watch(manifest_key, after, wait));
        if (found.version == 0)
        {
            return after == 0 ? std::optional<stored_revision>{} : find_unwatched_change(after);
        }
        BOOST_OUTCOME_TRY(content, parse_manifest(found.value));
        return load(stored_manifest{found.version, std::move(content)});
    }

    base::result<std::optional<stored_revision>> fetch(std::uint64_t after, std::chrono::milliseconds wait)
    {
        return wait.count() > 0 && last_read_.number == after ? watch(last_read_.version, wait) : read();
    }

    base::result<stored_revision> accept(const config::accepted_revision& next, std::uint64_t expected)
    {
        const auto chunks = config::encode_chunks(next);
        const auto wanted = manifest_of(next, chunks);
        BOOST_OUTCOME_TRY(present, retry_.run([&] { return read_manifest_since(expected); }));
        // A platform that was restored from a backup may give out the expected version again.
        const bool is_reissued = present.version != 0 && present.content.number >= next.number;
        if (present.version != expected || is_reissued)
        {
            return conflict_error(present.content);
        }
        if (present.version != 0)
        {
            BOOST_OUTCOME_TRY(write_history_entry(present.content));
        }
        const std::set<std::string> retained{present.content.chunks.begin(), present.content.chunks.end()};
        BOOST_OUTCOME_TRY(chunks_.write(chunks, retained));
        BOOST_OUTCOME_TRY(unreferenced, find_unreferenced(wanted, present.content));
        BOOST_OUTCOME_TRY(done, commit(wanted, expected));
        // If the platform was restored from a backup during this call, it may hold the
        // expected manifest version but not the chunks. The set is accepted even if
        // this check fails.
        static_cast<void>(chunks_.write_missing(chunks));
        if (done.by_this_call)
        {
            // Objects that could not be removed are removed with the next accepted revision.
            chunks_.remove(unreferenced.history);
            chunks_.remove(unreferenced.chunks);
        }
        return stored_revision{done.version, next};
    }

    base::result<std::optional<history_entry>> newest() const
    {
        BOOST_OUTCOME_TRY(present, read_manifest());
        return present.version == 0 ? std::nullopt : std::optional{to_entry(present.content)};
    }

    base::result<std::optional<stored_entry>> newest_entry() const
    {
        BOOST_OUTCOME_TRY(present, read_manifest());
        return present.version == 0 ? std::nullopt
                                    : std::optional{stored_entry{.manifest_version = present.version,
                                                                 .entry = to_entry(present.content)}};
    }

    base::result<std::vector<history_entry>> history() const
    {
        BOOST_OUTCOME_TRY(present, read_manifest());
        BOOST_OUTCOME_TRY(earlier, read_history());
        std::vector<history_entry> entries;
        if (present.version != 0)
        {
            entries.push_back(to_entry(present.content));
        }
        for (const auto& [row, content] : earlier)
        {
            if (content.number != present.content.number)
            {
                entries.push_back(to_entry(content));
            }
        }
        return entries;
    }

    base::result<config::accepted_revision> read_revision(std::uint64_t number)
    {
        BOOST_OUTCOME_TRY(present, read_manifest());
        if (present.version != 0 && present.content.number == number)
        {
            BOOST_OUTCOME_TRY(newest, load(present));
            return std::move(newest->revision);
        }
        BOOST_OUTCOME_TRY(kept, client_.get(history_key(number)));
        BOOST_OUTCOME_TRY(content, parse_manifest(kept.value));
        BOOST_OUTCOME_TRY(chunks, chunks_.read(content));
        return config::decode_chunks(header_of(content), chunks);
    }

private:
    /// Called after a watch from version `after` that timed out, because a watch does not
    /// report that the platform lost the manifest, or was restored from a backup and gave out
    /// the version again. Number 0 means that nothing was ever accepted.
    base::result<std::optional<stored_revision>> find_unwatched_change(std::uint64_t after)
    {
        BOOST_OUTCOME_TRY(present, read_manifest());
        if (present.version == 0)
        {
            return std::optional{stored_revision{}};
        }
        const bool is_known =
            present.content.number == last_read_.number && present.content.digest == last_read_.digest;
        return after != last_read_.version || is_known ? std::optional<stored_revision>{} : load(present);
    }

    base::result<stored_manifest> read_manifest() const
    {
        const auto found = client_.get(manifest_key);
        if (!found && found.error().code() == base::error_code::not_found)
        {
            return stored_manifest{};
        }
        BOOST_OUTCOME_TRYV(found);
        BOOST_OUTCOME_TRY(content, parse_manifest(found.value().value));
        return stored_manifest{found.value().version, std::move(content)};
    }

    /// Same as `read_manifest`, but an answer older than version `seen`, which was read
    /// before, is stale and counts as `unavailable`.
    base::result<stored_manifest> read_manifest_since(std::uint64_t seen) const
    {
        BOOST_OUTCOME_TRY(present, read_manifest());
        if (present.version < seen)
        {
            return base::error::make(base::error_code::unavailable, "read_manifest", "",
                                     "stale read: the manifest is older than one read before");
        }
        return std::move(present);
    }

    base::result<std::optional<stored_revision>> load(const stored_manifest& source)
    {
        BOOST_OUTCOME_TRY(chunks, chunks_.read(source.content));
        BOOST_OUTCOME_TRY(revision, config::decode_chunks(header_of(source.content), chunks));
        last_read_ = {.version = source.version, .number = revision.number, .digest = source.content.digest};
        return std::optional{stored_revision{source.version, std::move(revision)}};
    }

    base::result<std::vector<std::pair<object, manifest>>> read_history() const
    {
        BOOST_OUTCOME_TRY(rows, retry_.run([&] { return client_.list(history_prefix); }));
        std::vector<std::pair<object, manifest>> entries;
        for (auto& row : rows)
        {
            BOOST_OUTCOME_TRY(content, parse_manifest(row.value));
            entries.emplace_back(std::move(row), std::move(content));
        }
        std::sort(entries.begin(), entries.end(),
                  [](const auto& a, const auto& b) { return a.second.number > b.second.number; });
        return entries;
    }

    /// Copies the manifest that is about to be replaced. It describes a revision that
    /// was accepted, so the copy is correct even if the next revision is not accepted.
    base::result<void> write_history_entry(const manifest& replaced) const
    {
        const auto key = history_key(replaced.number);
        const auto text = to_json(replaced);
        std::uint64_t expected = 0;
        for (int tries = 0; tries < max_history_tries; ++tries)
        {
            const auto written = retry_.run([&] { return client_.put(key, text, expected); });
            if (written || written.error().code() != base::error_code::conflict)
            {
                return written ? base::result<void>{base::outcome::success()} : written.error();
            }
            BOOST_OUTCOME_TRY(present, retry_.run([&] { return client_.get(key); }));
            if (present.value == text)
            {
                return base::outcome::success();
            }
            expected = present.version;
        }
        return base::error::make(base::error_code::conflict, "write_history", "", key);
    }

    /// Must run before the commit. An operator that starts after the commit rewrites the
    /// chunks it needs, which changes their versions and so prevents their removal; one
    /// that started before the commit fails to commit.
    base::result<unreferenced_objects> find_unreferenced(const manifest& next, const manifest& replaced) const
    {
        BOOST_OUTCOME_TRY(entries, read_history());
        std::set<std::string> referenced{next.chunks.begin(), next.chunks.end()};
        referenced.insert(replaced.chunks.begin(), replaced.chunks.end());
        unreferenced_objects found;
        for (std::size_t i = 0; i < entries.size(); ++i)
        {
            if (i >= max_history)
            {
                found.history.push_back(entries[i].first);
                continue;
            }
            referenced.insert(entries[i].second.chunks.begin(), entries[i].second.chunks.end());
        }
        BOOST_OUTCOME_TRY(unused, chunks_.find_unreferenced(referenced));
        found.chunks = std::move(unused);
        return found;
    }

    /// Result of `commit`.
    struct commit_outcome
    {
        std::uint64_t version = 0;
        /// False if the accepted manifest was found by reading back. Another operator
        /// may have written an equal one before `find_unreferenced` ran, so the objects
        /// that it found may be referenced again.
        bool by_this_call = false;
    };

    /// Writes the manifest. Each attempt is conditional on the same version, so that a
    /// write whose answer was lost cannot take effect twice.
    base::result<commit_outcome> commit(const manifest& next, std::uint64_t expected) const
    {
        const auto text = to_json(next);
        retry_backoff<Time> backoff{retry_.timeout};
        while (true)
        {
            const auto written = client_.put(manifest_key, text, expected);
            if (written)
            {
                return commit_outcome{written.value(), true};
            }
            if (written.error().code() != base::error_code::conflict && !is_transient(written.error()))
            {
                return written.error();
            }
            BOOST_OUTCOME_TRY(version, find_accepted_version(next));
            if (version != 0)
            {
                return commit_outcome{version, false};
            }
            if (!backoff.wait())
            {
                return unknown_outcome_error(written.error());
            }
        }
    }

    /// Determines the outcome of a write whose answer was lost: returns the version if
    /// it was accepted, 0 if that is not known yet. Any read may be stale, so only a
    /// manifest with the number of `next` or a history entry for it counts as proof.
    base::result<std::uint64_t> find_accepted_version(const manifest& next) const
    {
        BOOST_OUTCOME_TRY(present, retry_.run([&] { return read_manifest(); }));
        if (present.content.number < next.number)
        {
            return std::uint64_t{0};
        }
        if (present.content.number == next.number)
        {
            return check_accepted(next, present, present.content);
        }
        const auto earlier = retry_.run([&] { return client_.get(history_key(next.number)); });
        if (!earlier)
        {
            return std::uint64_t{0};
        }
        BOOST_OUTCOME_TRY(kept, parse_manifest(earlier.value().value));
        return check_accepted(next, stored_manifest{earlier.value().version, kept}, present.content);
    }

    /// Returns the version of `proof` if it holds the set of `next`; otherwise another
    /// revision has its number, which is a `conflict`.
    static base::result<std::uint64_t> check_accepted(const manifest& next, const stored_manifest& proof,
                                                      const manifest& newest)
    {
        if (proof.content.digest == next.digest)
        {
            return proof.version;
        }
        return conflict_error(newest);
    }

    static base::error conflict_error(const manifest& winner)
    {
        return base::error::make(base::error_code::conflict, "accept_revision", winner.author,
                                 describe_acceptance(winner.number, winner.author, winner.accepted_at));
    }

    static base::error unknown_outcome_error(const base::error& last)
    {
        const auto code = last.code() == base::error_code::conflict ? base::error_code::timeout : last.code();
        return base::error::make(code, "accept_revision", last.peer(),
                                 "the outcome is unknown, apply again to find out: " + last.detail());
    }

    static constexpr int max_history_tries = 8;

    Client client_;
    retry_policy<Time> retry_;
    chunk_store<Client, Time> chunks_;
    /// The revision that was read last.
    struct known_manifest
    {
        std::uint64_t version = 0;
        std::uint64_t number = 0;
        std::string digest;
    };
    known_manifest last_read_;
};

} // namespace galenabay::object_api
