#pragma once

#include "record.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdint>
#include <string>

namespace review
{

/// IPv4 address and port, in host byte order.
struct endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

inline std::string address_text(std::uint32_t address)
{
    return std::to_string(address >> 24U) + "." + std::to_string((address >> 16U) & 255U) + "." +
           std::to_string((address >> 8U) & 255U) + "." + std::to_string(address & 255U);
}

inline std::string text_of(const endpoint& value)
{
    return address_text(value.address) + ":" + std::to_string(value.port);
}

inline sockaddr_in to_sockaddr(const endpoint& value)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(value.address);
    address.sin_port = htons(value.port);
    return address;
}

/// Returns a non-blocking UDP socket.
inline int open_udp(const endpoint& local)
{
    const int descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto address = to_sockaddr(local);
    if (descriptor < 0 || ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    {
        give_up("UDP address " + text_of(local) + " isn't free");
    }
    return descriptor;
}

/// Returns a listening TCP socket.
inline int open_listener(const endpoint& local)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const auto address = to_sockaddr(local);
    if (descriptor < 0 || ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(descriptor, 256) != 0)
    {
        give_up("TCP address " + text_of(local) + " isn't free");
    }
    return descriptor;
}

inline void send_datagram(int descriptor, const std::string& bytes, const endpoint& to)
{
    const auto address = to_sockaddr(to);
    ::sendto(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

/// Returns true when a datagram was received.
inline bool receive_datagram(int descriptor, std::string& bytes)
{
    bytes.resize(4096);
    const auto size = ::recv(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
    bytes.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return size > 0;
}

inline bool wait_readable(int descriptor, int timeout_ms)
{
    pollfd entry{descriptor, POLLIN, 0};
    return ::poll(&entry, 1, timeout_ms) > 0;
}

inline bool send_all(int descriptor, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const auto size = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

/// Reads one HTTP request or response: the head, and as many bytes as its Content-Length says.
/// Returns false when the connection ends or is silent for two seconds before.
inline bool read_http(int descriptor, std::string& head, std::string& body)
{
    const timeval limit{2, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    std::string bytes;
    std::size_t end = std::string::npos;
    std::size_t length = 0;
    while (true)
    {
        if (end == std::string::npos && (end = bytes.find("\r\n\r\n")) != std::string::npos)
        {
            head = bytes.substr(0, end);
            const auto field = head.find("Content-Length: ");
            length = field == std::string::npos ? 0 : std::strtoul(head.c_str() + field + 16, nullptr, 10);
        }
        if (end != std::string::npos && bytes.size() >= end + 4 + length)
        {
            body = bytes.substr(end + 4, length);
            return true;
        }
        char block[16384];
        const auto size = ::recv(descriptor, block, sizeof block, 0);
        if (size <= 0)
        {
            return false;
        }
        bytes.append(block, static_cast<std::size_t>(size));
    }
}

} // namespace review
