#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/config/accepted_revision.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace galenabay::object_api
{

/// Metadata of one accepted revision and the names of its chunks. Plain value.
struct manifest
{
    std::uint64_t number = 0;
    /// SHA-256 of the set, in hexadecimal.
    std::string digest;
    std::string name;
    std::string author;
    std::int64_t accepted_at = 0;
    /// SHA-256 of each chunk, in hexadecimal and in order.
    std::vector<std::string> chunks;

    friend auto operator<=>(const manifest&, const manifest&) = default;
};

/// Returns the JSON form of a manifest.
std::string to_json(const manifest& source);

/// Parses the JSON form of a manifest. Errors: `malformed`.
base::result<manifest> parse_manifest(const std::string& text);

/// Returns the revision that the manifest describes, without services and lineage.
config::accepted_revision header_of(const manifest& source);

} // namespace galenabay::object_api
