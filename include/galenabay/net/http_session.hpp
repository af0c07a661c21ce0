#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/result.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace galenabay::net
{

/// One HTTP call.
struct http_request
{
    /// Step named in errors.
    std::string step;
    std::string method;
    std::string path;
    std::string body;
    /// Version that the object must have (If-Match); 0: it must not exist.
    std::optional<std::uint64_t> expected_version;
    /// Longest wait for each part of the answer.
    std::chrono::milliseconds timeout{0};
    std::size_t max_response = 0;
};

/// Answer with a status that is no error.
struct http_response
{
    bool has_content = false;
    std::string body;
};

/// A connection to an HTTP/1.1 server that is kept open between calls and opened
/// again after a failure. Blocking; one thread at a time.
class http_session
{
public:
    /// `connect_timeout`: longest wait for a connection.
    static http_session make(const base::endpoint& server, std::chrono::milliseconds connect_timeout);

    http_session(http_session&&) noexcept;
    http_session& operator=(http_session&&) noexcept;
    ~http_session();

    /// Errors: `not_found` (404), `conflict` (409, 412), `stale` (410), `out_of_range`
    /// (413, or an answer over `max_response`), `exhausted` (429), `unavailable` (503,
    /// no connection), `timeout` (no answer: a write may have taken effect),
    /// `malformed`.
    base::result<http_response> call(const http_request& request);

private:
    class connection;
    explicit http_session(std::unique_ptr<connection> opened);

    std::unique_ptr<connection> connection_;
};

} // namespace galenabay::net
