#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/net/status_server.hpp>

#include <cstddef>
#include <string>

namespace galenabay::net
{

/// One accepted connection of a `status_server`: reads a request and writes its response without blocking. Owned and
/// used by the server's thread.
class status_connection
{
public:
    /// `descriptor` is a connected non-blocking socket, which the connection closes.
    status_connection(int descriptor, base::time_point deadline) : descriptor_{descriptor}, deadline_{deadline} {}
    status_connection(status_connection&& other) noexcept;
    status_connection& operator=(status_connection&& other) noexcept;
    ~status_connection();

    int descriptor() const noexcept { return descriptor_; }
    /// Events of `poll` that the connection waits for.
    short awaited_events() const noexcept;
    base::time_point deadline() const noexcept { return deadline_; }

    /// Reads and writes as far as possible. Returns false when the connection has ended.
    bool advance(const status_server::request_handler& answer);

private:
    bool is_responding() const noexcept { return !response_.empty(); }
    /// Reads what has arrived. Returns false when the connection has ended.
    bool read(const status_server::request_handler& answer);
    /// Returns false when the connection has ended or the whole response is written.
    bool write();

    int descriptor_;
    base::time_point deadline_;
    std::string request_;
    std::string response_;
    std::size_t written_ = 0;
};

} // namespace galenabay::net
