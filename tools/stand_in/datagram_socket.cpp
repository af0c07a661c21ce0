#include "datagram_socket.hpp"

#include <galenabay/wire/proxy_header.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <utility>

namespace galenabay::stand_in
{

namespace
{

constexpr std::size_t max_received_size = wire::max_datagram + wire::max_proxy_header;
constexpr int receive_buffer_bytes = 1 << 20;

/// The stand-ins use IPv4 loopback addresses only.
sockaddr_in to_socket_address(const base::endpoint& value)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(value.v4());
    address.sin_port = htons(value.port());
    return address;
}

} // namespace

base::result<datagram_socket> datagram_socket::bind(const base::endpoint& address, const datagram_faults& faults,
                                                    std::uint64_t seed)
{
    const int descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    datagram_socket made{descriptor, faults, seed};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    const sockaddr_in local = to_socket_address(address);
    if (descriptor < 0 || ::bind(descriptor, reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0)
    {
        return base::error::make(base::error_code::io_failure, "bind", address.to_string(), std::strerror(errno));
    }
    return made;
}

datagram_socket::datagram_socket(int descriptor, const datagram_faults& faults, std::uint64_t seed)
    : descriptor_{descriptor}, faults_{faults}, random_{seed}
{
}

datagram_socket::datagram_socket(datagram_socket&& other) noexcept
    : descriptor_{std::exchange(other.descriptor_, -1)}, faults_{other.faults_}, random_{other.random_},
      delayed_{std::move(other.delayed_)}
{
}

datagram_socket& datagram_socket::operator=(datagram_socket&& other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    std::swap(faults_, other.faults_);
    std::swap(random_, other.random_);
    std::swap(delayed_, other.delayed_);
    return *this;
}

datagram_socket::~datagram_socket()
{
    if (descriptor_ >= 0)
    {
        close(descriptor_);
    }
}

bool datagram_socket::should_inject(double percent)
{
    return percent > 0 && random_.unit() * 100 < percent;
}

void datagram_socket::send_now(std::span<const std::byte> bytes, const base::endpoint& to) const
{
    const sockaddr_in address = to_socket_address(to);
    sendto(descriptor_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

void datagram_socket::send(std::span<const std::byte> bytes, const base::endpoint& to, base::time_point now)
{
    if (should_inject(faults_.drop_percent))
    {
        return;
    }
    const int copies = should_inject(faults_.double_percent) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
    {
        if (should_inject(faults_.delay_percent))
        {
            const auto longest = static_cast<std::uint64_t>(faults_.delay.count());
            const base::duration delay{static_cast<std::int64_t>(random_.below(longest + 1))};
            delayed_.emplace(now + delay, delayed{to, {bytes.begin(), bytes.end()}});
        }
        else
        {
            send_now(bytes, to);
        }
    }
}

std::optional<base::endpoint> datagram_socket::receive(std::vector<std::byte>& bytes)
{
    bytes.resize(max_received_size);
    sockaddr_in address{};
    socklen_t size = sizeof address;
    const auto count =
        recvfrom(descriptor_, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&address), &size);
    if (count < 0)
    {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(count));
    return base::endpoint::make_v4(ntohl(address.sin_addr.s_addr), ntohs(address.sin_port));
}

void datagram_socket::on_tick(base::time_point now)
{
    while (!delayed_.empty() && delayed_.begin()->first <= now)
    {
        const auto& due = delayed_.begin()->second;
        send_now(due.bytes, due.to);
        delayed_.erase(delayed_.begin());
    }
}

} // namespace galenabay::stand_in
