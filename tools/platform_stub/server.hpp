#pragma once

#include "fault_state.hpp"
#include "host_prober.hpp"
#include "object_store.hpp"

#include <Poco/Net/HTTPServer.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace galenabay::stub
{

/// Settings of the platform stub.
struct server_settings
{
    /// ADDRESS:PORT; port 0 selects a free one.
    std::string listen = "127.0.0.1:0";
    std::string hosts_file;
    std::chrono::milliseconds list_lag{0};
    double writes_per_second = 400;
    double reads_per_second = 2000;
};

/// HTTP server that stands in for the platform's object API. Owns its threads. Throws
/// Poco::Exception if it cannot listen.
class server
{
public:
    explicit server(const server_settings& settings);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    std::uint16_t port() const;
    object_store& objects() noexcept { return objects_; }
    fault_state& state() noexcept { return state_; }
    host_prober& hosts() noexcept { return hosts_; }

private:
    object_store objects_;
    fault_state state_;
    host_prober hosts_;
    std::unique_ptr<Poco::Net::HTTPServer> http_;
};

} // namespace galenabay::stub
