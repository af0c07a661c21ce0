#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>

// Addresses, sockets and the clock of the stand-ins. All addresses are loopback addresses.
namespace review
{

/// The case could not run: its addresses are in use, or a program did not start.
constexpr int exit_cannot_run = 2;

/// Ends a case that cannot run.
[[noreturn]] inline void give_up(const std::string& reason)
{
    std::cerr << "cannot run: " << reason << '\n';
    std::exit(exit_cannot_run);
}

struct endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;

    std::string address_text() const
    {
        return std::to_string(address >> 24U) + "." + std::to_string((address >> 16U) & 255U) + "." +
               std::to_string((address >> 8U) & 255U) + "." + std::to_string(address & 255U);
    }
    std::string text() const { return address_text() + ":" + std::to_string(port); }
    sockaddr_in native() const
    {
        sockaddr_in made{};
        made.sin_family = AF_INET;
        made.sin_addr.s_addr = htonl(address);
        made.sin_port = htons(port);
        return made;
    }
};

inline endpoint endpoint_of(const sockaddr_in& from)
{
    return {ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)};
}

/// An address of 127.0.0.0/8.
inline std::uint32_t loopback(std::uint32_t block, std::uint32_t group, std::uint32_t number)
{
    return (127U << 24U) | (block << 16U) | (group << 8U) | number;
}

class descriptor
{
public:
    descriptor() = default;
    explicit descriptor(int number) : number_{number} {}
    descriptor(descriptor&& other) noexcept : number_{std::exchange(other.number_, -1)} {}
    descriptor& operator=(descriptor&& other) noexcept
    {
        std::swap(number_, other.number_);
        return *this;
    }
    ~descriptor()
    {
        if (number_ >= 0)
        {
            ::close(number_);
        }
    }
    int get() const { return number_; }

private:
    int number_ = -1;
};

inline descriptor open_datagram_socket(const endpoint& local)
{
    descriptor made{::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    constexpr int buffer_bytes = 1 << 20;
    ::setsockopt(made.get(), SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
    const auto address = local.native();
    if (::bind(made.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    {
        give_up("no datagram socket at " + local.text());
    }
    return made;
}

inline descriptor open_listener(const endpoint& local)
{
    descriptor made{::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    constexpr int on = 1;
    ::setsockopt(made.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = local.native();
    if (::bind(made.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(made.get(), SOMAXCONN) != 0)
    {
        give_up("no listener at " + local.text());
    }
    return made;
}

/// Milliseconds since the case began.
inline double now_ms()
{
    static const auto begun = std::chrono::steady_clock::now();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begun).count();
}

} // namespace review
