#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/result.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace galenabay::net
{

// HTTP status codes of the responses.
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

/// Response to one GET of the status server.
struct status_response
{
    /// HTTP status code.
    int status = 200;
    std::string body;
};

/// What the callers of a status server may hold together.
struct status_limits
{
    /// Open connections. One more closes the oldest.
    std::size_t connections = 0;
    /// Time from the acceptance of a connection to its end.
    std::chrono::milliseconds connection_time{0};

    /// Returns 5 s and at most 128 connections; fewer where the process may open few descriptors, so that several
    /// servers with as many connections as they may have leave most descriptors to the rest of the process.
    static status_limits for_this_process();
};

/// Small HTTP server for readiness, health and metrics: one response a connection. Runs on one thread of its own until
/// destroyed. Callers that send nothing, half a request or one byte at a time, or that don't read their response, don't
/// delay the response to others.
class status_server
{
public:
    /// Returns the response for a path. Called on the server's thread.
    using request_handler = std::function<status_response(const std::string& path)>;

    /// Starts serving on `local`. Errors: `io_failure` with `step` and the system's text when the endpoint cannot be
    /// bound or the thread cannot be started.
    static base::result<status_server> start(const base::endpoint& local, const std::string& step,
                                             request_handler answer,
                                             status_limits limits = status_limits::for_this_process());

    status_server(status_server&&) noexcept;
    status_server& operator=(status_server&&) noexcept;
    ~status_server();

private:
    class server;
    explicit status_server(std::unique_ptr<server> running);

    std::unique_ptr<server> server_;
};

} // namespace galenabay::net
