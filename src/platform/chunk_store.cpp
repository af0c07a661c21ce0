#include "chunk_store.hpp"

#include "base64.hpp"

#include <galenabay/config/codec.hpp>

#include <utility>

namespace galenabay::platform
{

namespace
{

const std::string chunk_prefix = "config/chunks/";
constexpr int max_write_tries = 8;

} // namespace

std::string chunk_store::name_of(const piece& content)
{
    return config::to_hex(config::digest_of_bytes(content));
}

base::result<piece> chunk_store::fetch(const std::string& name) const
{
    BOOST_OUTCOME_TRY(stored, client_.get(chunk_prefix + name));
    BOOST_OUTCOME_TRY(content, from_base64(stored.value));
    if (name_of(content) != name)
    {
        return base::error::make(base::error_code::corrupt, "read_chunk", "", chunk_prefix + name);
    }
    return std::move(content);
}

base::result<std::vector<piece>> chunk_store::read(const manifest& source)
{
    std::map<std::string, piece> used;
    std::vector<piece> pieces;
    for (const auto& name : source.chunks)
    {
        const auto found = known_.find(name);
        if (found == known_.end())
        {
            BOOST_OUTCOME_TRY(content, fetch(name));
            pieces.push_back(std::move(content));
        }
        else
        {
            pieces.push_back(found->second);
        }
        used.emplace(name, pieces.back());
    }
    known_ = std::move(used);
    return pieces;
}

base::result<void> chunk_store::write(const std::vector<piece>& pieces, const std::set<std::string>& safe) const
{
    BOOST_OUTCOME_TRY(stored, retry_.run([&] { return client_.list_keys(chunk_prefix); }));
    std::map<std::string, std::uint64_t> versions;
    for (const auto& row : stored)
    {
        versions.emplace(row.key, row.version);
    }
    for (const auto& content : pieces)
    {
        if (const auto name = name_of(content); !safe.contains(name))
        {
            const auto key = chunk_prefix + name;
            BOOST_OUTCOME_TRY(write_one(key, to_base64(content), versions[key]));
        }
    }
    return base::outcome::success();
}

base::result<void> chunk_store::write_one(const std::string& key, const std::string& text, std::uint64_t seen) const
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
        if (present && present.value().value == text)
        {
            // Written since the versions were listed: by another operator, or by
            // a try of ours whose answer was lost.
            return base::outcome::success();
        }
        seen = present ? present.value().version : 0;
    }
    return base::error::make(base::error_code::conflict, "write_chunk", "", key + ": changed by others all the time");
}

base::result<std::vector<object>> chunk_store::unused(const std::set<std::string>& kept) const
{
    BOOST_OUTCOME_TRY(stored, retry_.run([&] { return client_.list_keys(chunk_prefix); }));
    std::erase_if(stored, [&](const object& row) { return kept.contains(row.key.substr(chunk_prefix.size())); });
    return std::move(stored);
}

std::size_t chunk_store::remove(const std::vector<object>& objects) const
{
    std::size_t removed = 0;
    for (const auto& row : objects)
    {
        removed += client_.remove(row.key, row.version).has_value() ? 1U : 0U;
    }
    return removed;
}

} // namespace galenabay::platform
