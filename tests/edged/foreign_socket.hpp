#pragma once

#include <galenabay/base/endpoint.hpp>

#include <CppUTest/TestHarness.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace galenabay::edged_test
{

/// A socket of another program, which holds its address.
class foreign_socket
{
public:
    foreign_socket(const base::endpoint& local, int type) : descriptor_{socket(AF_INET, type, 0)}
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(local.port());
        address.sin_addr.s_addr = htonl(local.v4());
        LONGS_EQUAL(0, bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address));
        if (type == SOCK_STREAM)
        {
            LONGS_EQUAL(0, listen(descriptor_, 1));
        }
    }
    foreign_socket(const foreign_socket&) = delete;
    foreign_socket& operator=(const foreign_socket&) = delete;
    ~foreign_socket() { close(descriptor_); }

    std::uint16_t port() const
    {
        sockaddr_in address{};
        socklen_t length = sizeof address;
        getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &length);
        return ntohs(address.sin_port);
    }

private:
    int descriptor_;
};

} // namespace galenabay::edged_test
