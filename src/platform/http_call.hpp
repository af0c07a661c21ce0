#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/result.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

namespace galenabay::platform
{

/// One HTTP call to the platform.
struct http_request
{
    /// Step named in errors.
    std::string step;
    std::string method;
    std::string path;
    std::string body;
    /// Version that the object must have; 0: it must not exist.
    std::optional<std::uint64_t> expected;
    std::chrono::milliseconds timeout{0};
    std::size_t max_response = 0;
};

/// Answer with a status that is no error.
struct http_answer
{
    bool has_content = false;
    std::string body;
};

/// Sends one call on a connection of its own. Errors as listed at
/// `object_client`.
base::result<http_answer> call(const base::endpoint& platform, const http_request& request);

} // namespace galenabay::platform
