#include <galenabay/edge/address_check.hpp>

#include <galenabay/net/bind_check.hpp>

#include <cerrno>
#include <cstring>

namespace galenabay::edge
{

std::optional<address_fault> find_address_fault(const adapter::settings& settings)
{
    using net::transport;
    struct needed_address
    {
        const char* step;
        const base::endpoint& local;
        transport protocol;
    };
    for (const auto& [step, local, protocol] : {needed_address{"bind_packets", settings.packets, transport::udp},
                                                needed_address{"bind_peers", settings.peers, transport::udp},
                                                needed_address{"bind_readiness", settings.readiness, transport::tcp},
                                                needed_address{"bind_peer_server", settings.peers, transport::tcp}})
    {
        if (const int number = net::try_to_bind(local, protocol); number != 0)
        {
            return address_fault{.error = base::error::make(base::error_code::io_failure, step, local.to_string(),
                                                            std::strerror(number)),
                                 .may_pass = number == EADDRINUSE || number == EADDRNOTAVAIL};
        }
    }
    return std::nullopt;
}

} // namespace galenabay::edge
