#include "port_noise.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <galenabay/net/packet.hpp>

#include <array>
#include <csignal>
#include <string>

namespace galenabay::edge_soak
{

namespace
{

constexpr std::size_t max_connections = 60;
constexpr std::size_t max_datagrams = 300;
constexpr std::size_t longest_datagram = 1'400;
constexpr const char* unfinished_request = "GET /readyz HTTP/1.1\r\nHost: ";

Poco::Net::SocketAddress socket_address(const base::endpoint& from)
{
    return Poco::Net::SocketAddress{from.to_string()};
}

} // namespace

port_noise::port_noise(fault_schedule& schedule, host_processes& hosts, const base::endpoint& local)
    : schedule_{schedule}, hosts_{hosts}, socket_{net::udp_socket::bind(local).value()}
{
}

void port_noise::begin(double now)
{
    const auto host = schedule_.random.below(hosts_.size());
    if (!hosts_.in_use(host))
    {
        return;
    }
    switch (schedule_.random.below(4))
    {
    case 0:
        hold_connections(host, now);
        break;
    case 1:
        send_datagrams(host);
        break;
    case 2:
        hold_metrics_port(host, now);
        break;
    default:
        stall_output(now);
        break;
    }
}

void port_noise::hold_connections(std::size_t host, double now)
{
    if (!schedule_.begin("unfinished_requests"))
    {
        return;
    }
    const auto& ports = hosts_.ports();
    const std::array candidates{ports.readiness, ports.metrics, ports.peers};
    const auto address = socket_address(hosts_.address_of(host, candidates[schedule_.random.below(candidates.size())]));
    auto held = std::make_shared<std::vector<Poco::Net::StreamSocket>>();
    const auto count = 1 + schedule_.random.below(max_connections);
    for (std::size_t i = 0; i < count; ++i)
    {
        try
        {
            Poco::Net::StreamSocket connection;
            connection.connectNB(address);
            held->push_back(connection);
        }
        catch (const Poco::Exception&)
        {
            // The host does not run at the moment.
            return;
        }
    }
    schedule_.add(now + 0.05,
                  [held](double)
                  {
                      for (std::size_t i = 0; i < held->size(); i += 2)
                      {
                          ::send((*held)[i].impl()->sockfd(), unfinished_request, 28, MSG_DONTWAIT | MSG_NOSIGNAL);
                      }
                  });
    schedule_.add(now + schedule_.between(1, 14), [held](double) { held->clear(); });
}

void port_noise::send_datagrams(std::size_t host)
{
    if (!schedule_.begin("odd_datagrams"))
    {
        return;
    }
    const auto count = 1 + schedule_.random.below(max_datagrams);
    for (std::size_t i = 0; i < count; ++i)
    {
        std::string bytes(schedule_.random.below(longest_datagram), '\0');
        for (auto& byte : bytes)
        {
            byte = static_cast<char>(schedule_.random.below(256));
        }
        const auto port = schedule_.chance(0.5) ? hosts_.ports().packets : hosts_.ports().peers;
        const auto to = socket_address(hosts_.address_of(host, port));
        ::sendto(socket_.descriptor(), bytes.data(), bytes.size(), MSG_DONTWAIT, to.addr(), to.length());
    }
}

void port_noise::hold_metrics_port(std::size_t host, double now)
{
    if (!schedule_.begin("metrics_port_held"))
    {
        return;
    }
    hosts_.end(host, SIGKILL, 0.3);
    const double held_s = schedule_.between(0.5, 5);
    schedule_.add(now + 0.15,
                  [this, host, held_s](double at)
                  {
                      try
                      {
                          const auto address = socket_address(hosts_.address_of(host, hosts_.ports().metrics));
                          auto holder = std::make_shared<Poco::Net::ServerSocket>(address);
                          schedule_.add(at + held_s, [holder](double) { holder->close(); });
                      }
                      catch (const Poco::Exception&)
                      {
                          // The host was started again meanwhile.
                      }
                  });
}

void port_noise::stall_output(double now)
{
    if (!schedule_.begin("output_stalled"))
    {
        return;
    }
    hosts_.output().stall(true);
    schedule_.add(now + schedule_.between(0.5, 6), [this](double) { hosts_.output().stall(false); });
}

} // namespace galenabay::edge_soak
