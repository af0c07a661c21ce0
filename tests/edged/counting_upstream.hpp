#pragma once

#include "edged_process.hpp"

#include <edge_soak/wire_packet.hpp>

#include <array>
#include <string>

// The ends of the flows that processes of galena_edged steer.
namespace galenabay::edged_test
{

/// The endpoint of an upstream, which counts the datagrams that hosts forward to it.
class counting_upstream
{
public:
    base::endpoint address() const { return socket_.local(); }
    /// Returns the number of datagrams since the last call.
    std::size_t take()
    {
        std::array<net::packet*, 1> single{&buffer_};
        std::size_t count = 0;
        while (net::receive_batch(socket_.descriptor(), single).received > 0)
        {
            ++count;
        }
        return count;
    }
    std::string registration(const std::string& data_centre) const
    {
        return R"({"service":"feed","address":")" + address().to_string() + R"(","zone":")" + data_centre +
               R"(","version":"v1","max-concurrency":3,"state":"ready","warmup-left-ms":0,"sequence":1,)" +
               R"("born":1785880304094})";
    }

private:
    net::udp_socket socket_ = net::udp_socket::bind(host_settings::next_address()).value();
    net::packet buffer_;
};

/// A caller that opens a new flow with each SYN.
class opening_caller
{
public:
    void open(const base::endpoint& host)
    {
        edge_soak::send_packet(socket_,
                               {.source = socket_.local().v4(),
                                .target = 0xc6120001, // 198.18.0.1
                                .source_port = ++port_,
                                .target_port = 8443,
                                .flags = edge_soak::flag_syn,
                                .request = {}},
                               host);
    }

private:
    net::udp_socket socket_ = net::udp_socket::bind(host_settings::next_address()).value();
    std::uint16_t port_ = 2000;
};

} // namespace galenabay::edged_test
