#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/result.hpp>

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

/// Small HTTP server for readiness, health and metrics. Runs on its own threads until destroyed.
class status_server
{
public:
    /// Returns the response for a path. Called on the server's threads.
    using request_handler = std::function<status_response(const std::string& path)>;

    /// Starts serving on `local`. Errors: `io_failure` with `step` when the endpoint cannot be bound.
    static base::result<status_server> start(const base::endpoint& local, const std::string& step,
                                             request_handler answer);

    status_server(status_server&&) noexcept;
    status_server& operator=(status_server&&) noexcept;
    ~status_server();

private:
    class server;
    explicit status_server(std::unique_ptr<server> running);

    std::unique_ptr<server> server_;
};

} // namespace galenabay::net
