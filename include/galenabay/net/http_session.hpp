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

/// One HTTP request.
struct http_request
{
    /// Value of `base::error::step` in the errors of this request.
    std::string step;
    std::string method;
    std::string path;
    std::string body;
    /// Version that the object must have (If-Match); 0 means that it must not exist.
    std::optional<std::uint64_t> expected_version;
    /// Longest wait for each read of the response and each write of the request. All together take at most a second
    /// more, and 31 us for each byte of the response, so that a server that sends a byte now and then ends the call.
    std::chrono::milliseconds timeout{0};
    /// Longest accepted response body, in bytes.
    std::size_t max_response = 0;
    /// Name of the response header to return; none when empty.
    std::string response_header = {};
    /// Return the response to a write that conflicts with an existing object (409), too.
    bool returns_conflict = false;
};

/// Response with status 200, 201 or 204, or 409 where the request asks for it.
struct http_response
{
    /// False for status 204.
    bool has_content = false;
    std::string body;
    /// Value of `http_request::response_header`; empty when the response has none.
    std::string header = {};
    /// True for status 409.
    bool is_conflict = false;
};

/// Makes calls to one HTTP/1.1 server, each on a connection of its own: on a connection in use again, a late second
/// copy of an answer would pass for the answer to the next call. Calls block; used by one thread at a time.
class http_session
{
public:
    /// `connect_timeout`: longest wait for a connection.
    static http_session make(const base::endpoint& server, std::chrono::milliseconds connect_timeout);

    http_session(http_session&&) noexcept;
    http_session& operator=(http_session&&) noexcept;
    ~http_session();

    /// Sends a request and waits for its response. Errors: `not_found` (404), `conflict` (409, 412), `stale` (410),
    /// `out_of_range` (413, or a body longer than `max_response`), `exhausted` (429), `unavailable` (503, no
    /// connection), `timeout` (no complete response: a write may have taken effect), `malformed` (any other status).
    base::result<http_response> call(const http_request& request);

private:
    class connection;
    explicit http_session(std::unique_ptr<connection> opened);

    std::unique_ptr<connection> connection_;
};

} // namespace galenabay::net
