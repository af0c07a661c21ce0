#include <galenabay/platform/revision_store.hpp>

#include "chunk_store.hpp"
#include "manifest.hpp"
#include "retry.hpp"

#include <galenabay/config/codec.hpp>
#include <galenabay/platform/acceptance.hpp>

#include <algorithm>
#include <cstdio>
#include <thread>
#include <utility>

namespace galenabay::platform
{

namespace
{

const std::string manifest_key = "config/manifest";
const std::string history_prefix = "config/history/";

/// Zero-padded, so that keys sort by number.
std::string history_key(std::uint64_t number)
{
    char text[24] = {};
    std::snprintf(text, sizeof text, "%012llu", static_cast<unsigned long long>(number));
    return history_prefix + text;
}

/// A manifest as the platform holds it; version 0 when there is none.
struct stored_manifest
{
    std::uint64_t version = 0;
    manifest content;
};

/// Objects that no kept revision needs once the next one is accepted.
struct leftovers
{
    std::vector<object> chunks;
    std::vector<object> history;
};

manifest manifest_of(const config::accepted_revision& revision, const std::vector<piece>& pieces)
{
    manifest built{.number = revision.number,
                   .digest = config::to_hex(revision.digest),
                   .name = revision.set.name,
                   .author = revision.author,
                   .accepted_at = revision.accepted_at,
                   .chunks = {}};
    std::transform(pieces.begin(), pieces.end(), std::back_inserter(built.chunks), chunk_store::name_of);
    return built;
}

history_entry to_entry(const manifest& source)
{
    const auto header = header_of(source);
    return history_entry{header.number, header.digest, header.author, header.accepted_at};
}

base::error lost_race(const manifest& winner)
{
    return base::error::make(base::error_code::conflict, "accept_revision", winner.author,
                             describe_acceptance(winner.number, winner.author, winner.accepted_at));
}

} // namespace

class revision_store::state
{
public:
    state(object_client used, std::chrono::milliseconds patience)
        : client{std::move(used)}, retry{.patience = patience}, chunks{client, retry}
    {
    }

    base::result<stored_manifest> read_manifest() const
    {
        const auto found = client.get(manifest_key);
        if (!found && found.error().code() == base::error_code::not_found)
        {
            return stored_manifest{};
        }
        BOOST_OUTCOME_TRYV(found);
        BOOST_OUTCOME_TRY(content, parse_manifest(found.value().value));
        return stored_manifest{found.value().version, std::move(content)};
    }

    base::result<std::optional<stored_revision>> load(const stored_manifest& source)
    {
        BOOST_OUTCOME_TRY(pieces, chunks.read(source.content));
        BOOST_OUTCOME_TRY(revision, config::decode_pieces(header_of(source.content), pieces));
        last_read = {source.version, revision.number};
        return std::optional{stored_revision{source.version, std::move(revision)}};
    }

    base::result<std::vector<std::pair<object, manifest>>> read_history() const
    {
        BOOST_OUTCOME_TRY(rows, retry.run([&] { return client.list(history_prefix); }));
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

    /// Copies the manifest that is about to be replaced. It describes a revision
    /// that was accepted, so the copy is true even if the next one is not.
    base::result<void> keep_in_history(const manifest& replaced) const
    {
        const auto key = history_key(replaced.number);
        const auto text = to_json(replaced);
        std::uint64_t expected = 0;
        for (int tries = 0; tries < max_history_tries; ++tries)
        {
            const auto written = retry.run([&] { return client.put(key, text, expected); });
            if (written || written.error().code() != base::error_code::conflict)
            {
                return written ? base::result<void>{base::outcome::success()} : written.error();
            }
            BOOST_OUTCOME_TRY(present, retry.run([&] { return client.get(key); }));
            if (present.value == text)
            {
                return base::outcome::success();
            }
            expected = present.version;
        }
        return base::error::make(base::error_code::conflict, "write_history", "", key);
    }

    /// Must run before the commit: an operator who starts after the commit writes
    /// the pieces it needs again and so changes their versions; one who started
    /// before it fails to commit.
    base::result<leftovers> find_leftovers(const manifest& next) const
    {
        BOOST_OUTCOME_TRY(entries, read_history());
        std::set<std::string> kept{next.chunks.begin(), next.chunks.end()};
        leftovers found;
        for (std::size_t i = 0; i < entries.size(); ++i)
        {
            if (i >= max_history)
            {
                found.history.push_back(entries[i].first);
                continue;
            }
            kept.insert(entries[i].second.chunks.begin(), entries[i].second.chunks.end());
        }
        BOOST_OUTCOME_TRY(unused, chunks.unused(kept));
        found.chunks = std::move(unused);
        return found;
    }

    /// Writes the manifest. Each try is conditional on the same version, so that a
    /// write whose answer was lost cannot take effect twice.
    base::result<std::uint64_t> commit(const manifest& next, std::uint64_t expected) const
    {
        const auto text = to_json(next);
        const auto deadline = std::chrono::steady_clock::now() + retry.patience;
        auto pause = retry.first_pause;
        while (true)
        {
            const auto written = client.put(manifest_key, text, expected);
            if (written || (written.error().code() != base::error_code::conflict && !is_transient(written.error())))
            {
                return written;
            }
            const auto resolved = resolve(next, expected);
            if (!resolved || resolved.value() != 0)
            {
                return resolved;
            }
            if (std::chrono::steady_clock::now() + pause > deadline)
            {
                return written;
            }
            std::this_thread::sleep_for(pause);
            pause = std::min(2 * pause, retry.longest_pause);
        }
    }

    /// Finds out what became of a write without an answer: the version when it
    /// was accepted, 0 when the manifest is still the old one.
    base::result<std::uint64_t> resolve(const manifest& next, std::uint64_t expected) const
    {
        BOOST_OUTCOME_TRY(present, retry.run([&] { return read_manifest(); }));
        if (present.version == expected)
        {
            return std::uint64_t{0};
        }
        if (present.content.digest == next.digest && present.content.number == next.number)
        {
            return present.version;
        }
        if (present.content.number > next.number)
        {
            const auto earlier = retry.run([&] { return client.get(history_key(next.number)); });
            if (earlier && earlier.value().value == to_json(next))
            {
                return earlier.value().version;
            }
        }
        return lost_race(present.content);
    }

    object_client client;
    retry_policy retry;
    chunk_store chunks;
    /// Manifest version and number of the revision that was read last.
    std::pair<std::uint64_t, std::uint64_t> last_read{0, 0};

private:
    static constexpr int max_history_tries = 8;
};

revision_store::revision_store(object_client client, std::chrono::milliseconds patience)
    : state_{std::make_unique<state>(std::move(client), patience)}
{
}

revision_store::revision_store(revision_store&&) noexcept = default;
revision_store& revision_store::operator=(revision_store&&) noexcept = default;
revision_store::~revision_store() = default;

base::result<std::optional<stored_revision>> revision_store::read() const
{
    BOOST_OUTCOME_TRY(found, state_->read_manifest());
    if (found.version == 0)
    {
        return std::optional<stored_revision>{};
    }
    return state_->load(found);
}

base::result<std::optional<stored_revision>> revision_store::watch(std::uint64_t after,
                                                                   std::chrono::milliseconds wait) const
{
    BOOST_OUTCOME_TRY(found, state_->client.watch(manifest_key, after, wait));
    if (found.version == 0)
    {
        return std::optional<stored_revision>{};
    }
    BOOST_OUTCOME_TRY(content, parse_manifest(found.value));
    return state_->load(stored_manifest{found.version, std::move(content)});
}

base::result<std::optional<stored_revision>> revision_store::fetch(std::uint64_t after,
                                                                   std::chrono::milliseconds wait) const
{
    const auto [version, number] = state_->last_read;
    return wait.count() > 0 && number == after ? watch(version, wait) : read();
}

base::result<stored_revision> revision_store::accept(const config::accepted_revision& next,
                                                     std::uint64_t expected) const
{
    const auto pieces = config::encode_pieces(next);
    const auto wanted = manifest_of(next, pieces);
    BOOST_OUTCOME_TRY(present, state_->retry.run([&] { return state_->read_manifest(); }));
    if (present.version != expected)
    {
        return lost_race(present.content);
    }
    if (present.version != 0)
    {
        BOOST_OUTCOME_TRY(state_->keep_in_history(present.content));
    }
    const std::set<std::string> safe{present.content.chunks.begin(), present.content.chunks.end()};
    BOOST_OUTCOME_TRY(state_->chunks.write(pieces, safe));
    BOOST_OUTCOME_TRY(unneeded, state_->find_leftovers(wanted));
    BOOST_OUTCOME_TRY(version, state_->commit(wanted, expected));
    // A failure leaves objects behind that the next accepted revision removes.
    state_->chunks.remove(unneeded.history);
    state_->chunks.remove(unneeded.chunks);
    return stored_revision{version, next};
}

base::result<std::optional<history_entry>> revision_store::newest() const
{
    BOOST_OUTCOME_TRY(present, state_->read_manifest());
    return present.version == 0 ? std::nullopt : std::optional{to_entry(present.content)};
}

base::result<std::vector<history_entry>> revision_store::history() const
{
    BOOST_OUTCOME_TRY(present, state_->read_manifest());
    BOOST_OUTCOME_TRY(earlier, state_->read_history());
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

base::result<config::accepted_revision> revision_store::read_number(std::uint64_t number) const
{
    BOOST_OUTCOME_TRY(present, state_->read_manifest());
    if (present.version != 0 && present.content.number == number)
    {
        BOOST_OUTCOME_TRY(newest, state_->load(present));
        return std::move(newest->revision);
    }
    BOOST_OUTCOME_TRY(kept, state_->client.get(history_key(number)));
    BOOST_OUTCOME_TRY(content, parse_manifest(kept.value));
    BOOST_OUTCOME_TRY(pieces, state_->chunks.read(content));
    return config::decode_pieces(header_of(content), pieces);
}

} // namespace galenabay::platform
