#include <galenabay/config/codec.hpp>

#include "packed_message.hpp"
#include "revision_schema.hpp"
#include "service_set_schema.hpp"

#include <galenabay/config/load.hpp>

#include <Poco/Crypto/DigestEngine.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace galenabay::config
{

namespace
{

capnp::Data::Reader to_data(const digest& value)
{
    return {value.data(), value.size()};
}

using service_index = std::map<std::string, const service*>;

service_index index_by_name(const service_set& set)
{
    service_index index;
    for (const auto& element : set.services)
    {
        index.emplace_hint(index.end(), element.name, &element);
    }
    return index;
}

bool contains_equal(const service_index& index, const service& element)
{
    const auto found = index.find(element.name);
    return found != index.end() && *found->second == element;
}

/// Returns the approximate message size of a set in 8-byte words, so that the
/// message fits one segment; one segment is quicker to copy than many.
unsigned words_for(const service_set& set)
{
    constexpr std::size_t words_per_service = 40;
    constexpr std::size_t words_per_upstream = 16;
    std::size_t words = words_per_service * (set.services.size() + 1);
    for (const auto& element : set.services)
    {
        words += words_per_upstream * element.upstreams.size();
    }
    return static_cast<unsigned>(words);
}

base::result<accepted_revision> read_revision(schema::Revision::Reader reader)
{
    accepted_revision revision;
    revision.number = reader.getNumber();
    BOOST_OUTCOME_TRY(read, read_digest(reader.getDigest()));
    revision.digest = read;
    revision.set.name = reader.getName().cStr();
    revision.author = reader.getAuthor().cStr();
    revision.accepted_at = reader.getAcceptedAt();
    BOOST_OUTCOME_TRY(read_part(reader.getPart(), revision));
    return verify_revision(std::move(revision));
}

base::result<service_set> apply_change(const service_set& before, schema::RevisionChange::Reader change)
{
    std::map<std::string, service> services;
    for (const auto& element : before.services)
    {
        services.emplace(element.name, element);
    }
    for (const auto name : change.getRemoved())
    {
        services.erase(name.cStr());
    }
    for (const auto element : change.getServices())
    {
        BOOST_OUTCOME_TRY(converted, read_service(element));
        services.insert_or_assign(converted.name, converted);
    }
    service_set after{.name = change.getName().cStr(), .services = {}};
    for (auto& [name, element] : services)
    {
        after.services.push_back(std::move(element));
    }
    return after;
}

base::result<accepted_revision> read_change(const accepted_revision& before, schema::RevisionChange::Reader reader)
{
    if (reader.getNumber() != before.number + 1)
    {
        return base::error::make(base::error_code::stale, "decode_change", "",
                                 "the change does not follow the present revision");
    }
    BOOST_OUTCOME_TRY(expected, read_digest(reader.getDigest()));
    BOOST_OUTCOME_TRY(set, apply_change(before.set, reader));
    BOOST_OUTCOME_TRY(validate_structure(set));
    auto after = make_next_revision(&before, std::move(set), reader.getAuthor().cStr(), reader.getAcceptedAt());
    if (after.digest != expected)
    {
        return base::error::make(base::error_code::corrupt, "decode_change", "",
                                 "the digest does not match the service set");
    }
    return after;
}

} // namespace

std::vector<std::byte> encode_service_set(const service_set& set)
{
    capnp::MallocMessageBuilder message{words_for(set)};
    auto root = message.initRoot<schema::ServiceSet>();
    write_service_set(sorted(set), root);
    return pack_canonical(root.asReader());
}

digest digest_of_bytes(std::span<const std::byte> bytes)
{
    Poco::Crypto::DigestEngine engine{"SHA256"};
    engine.update(bytes.data(), bytes.size());
    const auto& computed = engine.digest();
    digest value{};
    std::copy_n(computed.begin(), std::min(value.size(), computed.size()), value.begin());
    return value;
}

digest digest_of(const service_set& set)
{
    return digest_of_bytes(encode_service_set(set));
}

std::string to_hex(const digest& value)
{
    return Poco::Crypto::DigestEngine::digestToHex({value.begin(), value.end()});
}

std::vector<std::byte> encode_revision(const accepted_revision& revision)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::Revision>();
    root.setNumber(revision.number);
    root.setDigest(to_data(revision.digest));
    root.setName(revision.set.name);
    root.setAuthor(revision.author);
    root.setAcceptedAt(revision.accepted_at);
    write_part(revision.set.services, revision.lineage, root.initPart());
    return pack_canonical(root.asReader());
}

base::result<accepted_revision> decode_revision(std::span<const std::byte> bytes)
{
    return unpack<schema::Revision>(bytes, read_revision);
}

std::vector<std::byte> encode_change(const accepted_revision& before, const accepted_revision& after)
{
    const auto earlier = index_by_name(before.set);
    const auto later = index_by_name(after.set);
    std::vector<service> changed;
    std::copy_if(after.set.services.begin(), after.set.services.end(), std::back_inserter(changed),
                 [&](const service& element) { return !contains_equal(earlier, element); });
    std::vector<std::string> removed;
    for (const auto& element : before.set.services)
    {
        if (!later.contains(element.name))
        {
            removed.push_back(element.name);
        }
    }
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::RevisionChange>();
    root.setNumber(after.number);
    root.setDigest(to_data(after.digest));
    root.setName(after.set.name);
    root.setAuthor(after.author);
    root.setAcceptedAt(after.accepted_at);
    auto services = root.initServices(static_cast<unsigned>(changed.size()));
    for (unsigned i = 0; i < services.size(); ++i)
    {
        write_service(changed[i], services[i]);
    }
    auto names = root.initRemoved(static_cast<unsigned>(removed.size()));
    for (unsigned i = 0; i < names.size(); ++i)
    {
        names.set(i, removed[i]);
    }
    return pack_canonical(root.asReader());
}

base::result<accepted_revision> decode_change(const accepted_revision& before, std::span<const std::byte> bytes)
{
    return unpack<schema::RevisionChange>(bytes, [&](schema::RevisionChange::Reader reader)
                                          { return read_change(before, reader); });
}

} // namespace galenabay::config
