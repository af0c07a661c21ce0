#pragma once

#include <galenabay/base/result.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace galenabay::object_api
{

/// Encodes `bytes` without line breaks.
std::string to_base64(std::span<const std::byte> bytes);

/// Decodes Base64. Errors: `malformed`.
base::result<std::vector<std::byte>> from_base64(const std::string& text);

} // namespace galenabay::object_api
