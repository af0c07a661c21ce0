#pragma once

#include "base64.hpp"
#include "manifest.hpp"
#include "retry.hpp"

#include <galenabay/config/codec.hpp>
#include <galenabay/object_api/object_client.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace galenabay::object_api
{

using chunk = std::vector<std::byte>;

inline constexpr const char* chunk_prefix = "config/chunks/";

inline std::string chunk_name(const chunk& content)
{
    return config::to_hex(config::digest_of_bytes(content));
}

/// Stores the chunks of revisions as objects that are named by their SHA-256. `client`
/// and `retry` must outlive it. Use it from one thread at a time.
template <typename Client, typename Time> class chunk_store
{
public:
    chunk_store(const Client& client, const retry_policy<Time>& retry) : client_{client}, retry_{retry} {}

    /// Returns the chunks that a manifest names, in order. Chunks of the manifest read
    /// before come from the cache. Errors: `not_found`, `corrupt`.
    base::result<std::vector<chunk>> read(const manifest& source);

    /// Writes each chunk that `retained` does not name. An existing chunk is written
    /// again to change its version: another operator that found it unreferenced
    /// removes it only at the version it listed.
    base::result<void> write(const std::vector<chunk>& chunks, const std::set<std::string>& retained) const;

    /// Writes each chunk that does not exist.
    base::result<void> write_missing(const std::vector<chunk>& chunks) const;

    /// Returns the stored chunks that `referenced` does not name.
    base::result<std::vector<object>> find_unreferenced(const std::set<std::string>& referenced) const;

    /// Removes objects if they still have the given versions; returns how many it removed.
    std::size_t remove(const std::vector<object>& objects) const;

private:
    base::result<std::map<std::string, std::uint64_t>> list_versions() const;
    /// Writes one chunk object. `seen`: its version in the listing, 0 if it was not listed.
    base::result<void> write_one(const std::string& key, const std::string& text, std::uint64_t seen) const;
    base::result<chunk> fetch(const std::string& name) const;

    static constexpr int max_write_tries = 8;

    const Client& client_;
    const retry_policy<Time>& retry_;
    std::map<std::string, chunk> cache_;
};

template <typename Client, typename Time>
base::result<chunk> chunk_store<Client, Time>::fetch(const std::string& name) const
{
    BOOST_OUTCOME_TRY(stored, client_.get(std::string{chunk_prefix} + name));
    BOOST_OUTCOME_TRY(content, from_base64(stored.value));
    if (chunk_name(content) != name)
    {
        return base::error::make(base::error_code::corrupt, "read_chunk", "", std::string{chunk_prefix} + name);
    }
    return std::move(content);
}

template <typename Client, typename Time>
base::result<std::vector<chunk>> chunk_store<Client, Time>::read(const manifest& source)
{
    std::map<std::string, chunk> used;
    std::vector<chunk> chunks;
    for (const auto& name : source.chunks)
    {
        const auto found = cache_.find(name);
        if (found == cache_.end())
        {
            BOOST_OUTCOME_TRY(content, fetch(name));
            chunks.push_back(std::move(content));
        }
        else
        {
            chunks.push_back(found->second);
        }
        used.emplace(name, chunks.back());
    }
    cache_ = std::move(used);
    return chunks;
}

template <typename Client, typename Time>
base::result<std::map<std::string, std::uint64_t>> chunk_store<Client, Time>::list_versions() const
{
    BOOST_OUTCOME_TRY(stored, retry_.run([&] { return client_.list_keys(chunk_prefix); }));
    std::map<std::string, std::uint64_t> versions;
    for (const auto& row : stored)
    {
        versions.emplace(row.key, row.version);
    }
    return versions;
}

template <typename Client, typename Time>
base::result<void> chunk_store<Client, Time>::write(const std::vector<chunk>& chunks,
                                                    const std::set<std::string>& retained) const
{
    BOOST_OUTCOME_TRY(versions, list_versions());
    for (const auto& content : chunks)
    {
        if (const auto name = chunk_name(content); !retained.contains(name))
        {
            const auto key = std::string{chunk_prefix} + name;
            BOOST_OUTCOME_TRY(write_one(key, to_base64(content), versions[key]));
        }
    }
    return base::outcome::success();
}

template <typename Client, typename Time>
base::result<void> chunk_store<Client, Time>::write_missing(const std::vector<chunk>& chunks) const
{
    BOOST_OUTCOME_TRY(versions, list_versions());
    for (const auto& content : chunks)
    {
        const auto key = std::string{chunk_prefix} + chunk_name(content);
        if (!versions.contains(key))
        {
            BOOST_OUTCOME_TRY(write_one(key, to_base64(content), 0));
        }
    }
    return base::outcome::success();
}

template <typename Client, typename Time>
base::result<void> chunk_store<Client, Time>::write_one(const std::string& key, const std::string& text,
                                                        std::uint64_t seen) const
{
    for (int tries = 0; tries < max_write_tries; ++tries)
    {
        const auto written = retry_.run([&] { return client_.put(key, text, seen); });
        if (written)
        {
            return base::outcome::success();
        }
        if (written.error().code() != base::error_code::conflict)
        {
            return written.error();
        }
        const auto present = retry_.run([&] { return client_.get(key); });
        if (!present && present.error().code() != base::error_code::not_found)
        {
            return present.error();
        }
        if (present && present.value().version > seen && present.value().value == text)
        {
            // Written after the versions were listed, by another operator or by an
            // earlier attempt of this call whose answer was lost. With the listed
            // version or an older one this could be a stale read.
            return base::outcome::success();
        }
        seen = present ? present.value().version : 0;
    }
    return base::error::make(base::error_code::conflict, "write_chunk", "",
                             key + ": changed by other operators on every attempt");
}

template <typename Client, typename Time>
base::result<std::vector<object>>
chunk_store<Client, Time>::find_unreferenced(const std::set<std::string>& referenced) const
{
    BOOST_OUTCOME_TRY(stored, retry_.run([&] { return client_.list_keys(chunk_prefix); }));
    const auto prefix_length = std::string{chunk_prefix}.size();
    std::erase_if(stored, [&](const object& row) { return referenced.contains(row.key.substr(prefix_length)); });
    return std::move(stored);
}

template <typename Client, typename Time>
std::size_t chunk_store<Client, Time>::remove(const std::vector<object>& objects) const
{
    std::size_t removed = 0;
    for (const auto& row : objects)
    {
        removed += client_.remove(row.key, row.version).has_value() ? 1U : 0U;
    }
    return removed;
}

} // namespace galenabay::object_api
