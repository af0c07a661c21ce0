#pragma once

#include "channels.hpp"
#include <galenabay/net/udp_socket.hpp>

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/hash.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/config/accepted_revision.hpp>
#include <galenabay/config/host_settings.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace galenabay::daemon
{

/// Service and socket of a service address.
struct service_entry
{
    config::service_id id = 0;
    config::service_kind kind = config::service_kind::datagram;
    /// Descriptor of the caller-facing socket.
    int socket = -1;
};

/// Owns the caller-facing sockets, one for each service address. Owned by the decide thread.
class service_table
{
public:
    service_table(const config::host_settings& settings, channels& links);

    /// Opens sockets for new addresses and retires those of removed ones. A socket that cannot be opened is logged and
    /// its service is not served.
    void on_revision(const config::accepted_revision& revision, base::time_point now);

    /// Closes retired sockets whose delay has expired.
    void on_tick(base::time_point now);

    /// Returns null when no service has this address.
    const service_entry* find(const base::endpoint& service) const;

private:
    struct open_socket
    {
        net::udp_socket socket;
        service_entry entry;
    };
    struct retired_socket
    {
        net::udp_socket socket;
        base::time_point close_at;
    };

    base::endpoint local_address(const base::endpoint& service) const;
    void open(const config::service& service);
    void retire_removed(const config::accepted_revision& revision, base::time_point now);

    config::host_settings settings_;
    channels& links_;
    std::map<base::endpoint, open_socket> sockets_;
    std::vector<retired_socket> retired_;
};

} // namespace galenabay::daemon
