#include "store_logic.hpp"

#include <cstdio>
#include <iterator>

namespace galenabay::object_api
{

std::string history_key(std::uint64_t number)
{
    char text[24] = {};
    std::snprintf(text, sizeof text, "%012llu", static_cast<unsigned long long>(number));
    return std::string{history_prefix} + text;
}

history_entry to_entry(const manifest& source)
{
    const auto header = header_of(source);
    return history_entry{header.number, header.digest, header.author, header.accepted_at};
}

manifest manifest_of(const config::accepted_revision& revision, const std::vector<chunk>& chunks)
{
    manifest built{.number = revision.number,
                   .digest = config::to_hex(revision.digest),
                   .name = revision.set.name,
                   .author = revision.author,
                   .accepted_at = revision.accepted_at,
                   .chunks = {}};
    std::transform(chunks.begin(), chunks.end(), std::back_inserter(built.chunks), chunk_name);
    return built;
}

} // namespace galenabay::object_api
