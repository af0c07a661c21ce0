#pragma once

#include <galenabay/base/result.hpp>

#include <cstddef>
#include <string>

namespace galenabay::base
{

/// Compresses `content`, which is not empty and shorter than 4 GiB, in the gzip format (RFC 1952).
std::string compress(const std::string& content);

/// Returns true when `content` begins like a gzip file.
bool is_compressed(const std::string& content);

/// Decompresses a gzip file. Errors: `malformed` for damaged or truncated files; `out_of_range` when the content is
/// longer than `max_size` bytes.
result<std::string> decompress(const std::string& file, std::size_t max_size);

} // namespace galenabay::base
