#include <galenabay/config/codec.hpp>

#include "packed_message.hpp"
#include "revision_schema.hpp"

#include <galenabay/base/hash.hpp>

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <bit>
#include <utility>

namespace galenabay::config
{

namespace
{

constexpr std::size_t upstreams_per_group = 256;
constexpr std::size_t max_groups = 256;
constexpr std::size_t length_size = 4;

/// Services and lineage whose names have the same hash modulo the number of
/// groups.
struct group
{
    std::vector<service> services;
    lineage_map lineage;
};

std::size_t group_count(const accepted_revision& revision)
{
    std::size_t upstreams = 0;
    for (const auto& element : revision.set.services)
    {
        upstreams += element.upstreams.size();
    }
    return std::min(std::bit_ceil(std::max<std::size_t>(upstreams / upstreams_per_group, 1)), max_groups);
}

std::vector<group> split(const accepted_revision& revision)
{
    std::vector<group> groups(group_count(revision));
    const auto group_of = [&](const std::string& name) -> group&
    { return groups[base::hash_text(name) & (groups.size() - 1)]; };
    for (const auto& element : revision.set.services)
    {
        group_of(element.name).services.push_back(element);
    }
    for (const auto& [name, generations] : revision.lineage)
    {
        group_of(name).lineage.emplace(name, generations);
    }
    return groups;
}

/// Encodes a group as a packed RevisionPart preceded by its length, so that the
/// parts can be separated after the chunks are joined.
std::vector<std::byte> encode_group(const group& source)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::RevisionPart>();
    write_part(source.services, source.lineage, root);
    const auto packed = pack_canonical(root.asReader());
    std::vector<std::byte> framed(length_size);
    boost::endian::store_little_u32(reinterpret_cast<unsigned char*>(framed.data()),
                                    static_cast<std::uint32_t>(packed.size()));
    framed.insert(framed.end(), packed.begin(), packed.end());
    return framed;
}

base::error malformed(const char* detail)
{
    return base::error::make(base::error_code::malformed, "decode_revision", "", detail);
}

} // namespace

std::vector<std::vector<std::byte>> encode_chunks(const accepted_revision& revision)
{
    std::vector<std::vector<std::byte>> chunks;
    for (const auto& source : split(revision))
    {
        const auto framed = encode_group(source);
        for (std::size_t from = 0; from < framed.size(); from += max_chunk_size)
        {
            const auto until = std::min(from + max_chunk_size, framed.size());
            chunks.emplace_back(framed.begin() + static_cast<std::ptrdiff_t>(from),
                                framed.begin() + static_cast<std::ptrdiff_t>(until));
        }
    }
    return chunks;
}

base::result<accepted_revision> decode_chunks(accepted_revision header, std::span<const std::vector<std::byte>> chunks)
{
    std::vector<std::byte> joined;
    for (const auto& chunk : chunks)
    {
        joined.insert(joined.end(), chunk.begin(), chunk.end());
    }
    std::span<const std::byte> rest{joined};
    while (!rest.empty())
    {
        if (rest.size() < length_size)
        {
            return malformed("a chunk is truncated");
        }
        const auto length = boost::endian::load_little_u32(reinterpret_cast<const unsigned char*>(rest.data()));
        rest = rest.subspan(length_size);
        if (length > rest.size())
        {
            return malformed("a chunk is truncated");
        }
        BOOST_OUTCOME_TRY(unpack<schema::RevisionPart>(rest.first(length), [&](schema::RevisionPart::Reader part)
                                                       { return read_part(part, header); }));
        rest = rest.subspan(length);
    }
    return verify_revision(std::move(header));
}

} // namespace galenabay::config
