#include "manifest.hpp"

#include "json_text.hpp"

#include <galenabay/object_api/acceptance.hpp>

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/Timestamp.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace galenabay::object_api
{

namespace
{

constexpr std::size_t max_chunks = 4096;
constexpr std::size_t max_author = 256;
constexpr std::size_t hex_length = 64;

bool is_sha256(const std::string& text)
{
    const auto is_hex = [](unsigned char c) { return std::isdigit(c) != 0 || (c >= 'a' && c <= 'f'); };
    return text.size() == hex_length && std::all_of(text.begin(), text.end(), is_hex);
}

std::uint8_t nibble(char c)
{
    return static_cast<std::uint8_t>(c <= '9' ? c - '0' : c - 'a' + 10);
}

config::digest from_hex(const std::string& text)
{
    config::digest value{};
    for (std::size_t i = 0; i < value.size(); ++i)
    {
        value[i] = static_cast<std::uint8_t>((nibble(text[2 * i]) << 4U) | nibble(text[2 * i + 1]));
    }
    return value;
}

bool is_valid(const manifest& read)
{
    return read.number > 0 && is_sha256(read.digest) && read.author.size() <= max_author && !read.chunks.empty() &&
           read.chunks.size() <= max_chunks && std::all_of(read.chunks.begin(), read.chunks.end(), is_sha256);
}

manifest read_members(const Poco::JSON::Object& json)
{
    manifest read;
    read.number = json.getValue<Poco::UInt64>("number");
    read.digest = json.getValue<std::string>("digest");
    read.name = json.getValue<std::string>("name");
    read.author = json.getValue<std::string>("author");
    read.accepted_at = json.getValue<Poco::Int64>("accepted_at");
    const auto chunks = json.getArray("chunks");
    for (unsigned i = 0; !chunks.isNull() && i < std::min<std::size_t>(chunks->size(), max_chunks + 1); ++i)
    {
        read.chunks.push_back(chunks->getElement<std::string>(i));
    }
    return read;
}

} // namespace

std::string to_json(const manifest& source)
{
    Poco::JSON::Array chunks;
    for (const auto& chunk : source.chunks)
    {
        chunks.add(chunk);
    }
    Poco::JSON::Object json;
    json.set("number", source.number);
    json.set("digest", source.digest);
    json.set("name", source.name);
    json.set("author", source.author);
    json.set("accepted_at", source.accepted_at);
    json.set("chunks", chunks);
    return to_text(json);
}

base::result<manifest> parse_manifest(const std::string& text)
{
    BOOST_OUTCOME_TRY(json, parse_json(text, "parse_manifest", ""));
    try
    {
        auto read = read_members(*json);
        if (is_valid(read))
        {
            return read;
        }
        return base::error::make(base::error_code::malformed, "parse_manifest", "", "a member has an invalid value");
    }
    catch (const Poco::Exception& failure)
    {
        return base::error::make(base::error_code::malformed, "parse_manifest", "", failure.displayText());
    }
}

config::accepted_revision header_of(const manifest& source)
{
    config::accepted_revision header;
    header.number = source.number;
    header.digest = from_hex(source.digest);
    header.set.name = source.name;
    header.author = source.author;
    header.accepted_at = source.accepted_at;
    return header;
}

std::string describe_acceptance(std::uint64_t number, const std::string& author, std::int64_t accepted_at)
{
    return "accepted as revision " + std::to_string(number) + " by " + author + " at " + format_time(accepted_at);
}

std::string format_time(std::int64_t seconds)
{
    return Poco::DateTimeFormatter::format(Poco::Timestamp::fromEpochTime(seconds),
                                           Poco::DateTimeFormat::ISO8601_FORMAT);
}

} // namespace galenabay::object_api
