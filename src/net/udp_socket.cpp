#include <galenabay/net/udp_socket.hpp>

#include "socket_address.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

namespace galenabay::net
{

namespace
{

constexpr int socket_buffer_bytes = 4 << 20;

base::error io_error(const char* step, const base::endpoint& local)
{
    return base::error::make(base::error_code::io_failure, step, local.to_string(), std::strerror(errno));
}

} // namespace

base::result<udp_socket> udp_socket::bind(const base::endpoint& local)
{
    const int descriptor = ::socket(local.is_v4() ? AF_INET : AF_INET6, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
    {
        return io_error("open_socket", local);
    }
    udp_socket opened{descriptor};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &socket_buffer_bytes, sizeof socket_buffer_bytes);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &socket_buffer_bytes, sizeof socket_buffer_bytes);
    sockaddr_storage address{};
    const socklen_t length = to_sockaddr(local, address);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), length) != 0)
    {
        return io_error("bind_socket", local);
    }
    return opened;
}

base::endpoint udp_socket::local() const
{
    sockaddr_storage address{};
    socklen_t length = sizeof address;
    getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &length);
    return from_sockaddr(address);
}

udp_socket& udp_socket::operator=(udp_socket&& other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

udp_socket::~udp_socket()
{
    if (descriptor_ >= 0)
    {
        close(descriptor_);
    }
}

receive_result receive_batch(int descriptor, std::span<packet* const> packets)
{
    std::array<mmsghdr, batch_size> headers{};
    std::array<iovec, batch_size> vectors{};
    std::array<sockaddr_storage, batch_size> addresses;
    const std::size_t count = std::min(packets.size(), batch_size);
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto area = packets[i]->receive_buffer();
        vectors[i] = {area.data(), area.size()};
        headers[i].msg_hdr.msg_iov = &vectors[i];
        headers[i].msg_hdr.msg_iovlen = 1;
        headers[i].msg_hdr.msg_name = &addresses[i];
        headers[i].msg_hdr.msg_namelen = sizeof addresses[i];
    }
    const int got = recvmmsg(descriptor, headers.data(), static_cast<unsigned>(count), MSG_DONTWAIT, nullptr);
    receive_result outcome;
    for (std::size_t i = 0; got > 0 && i < static_cast<std::size_t>(got); ++i)
    {
        const bool truncated = (headers[i].msg_hdr.msg_flags & MSG_TRUNC) != 0;
        packets[i]->set_received_size(truncated ? 0 : headers[i].msg_len);
        packets[i]->peer = from_sockaddr(addresses[i]);
        packets[i]->socket = descriptor;
        outcome.oversize += truncated ? 1 : 0;
        ++outcome.received;
    }
    return outcome;
}

std::size_t send_batch(int descriptor, std::span<packet* const> packets)
{
    std::array<mmsghdr, batch_size> headers{};
    std::array<iovec, batch_size> vectors{};
    std::array<sockaddr_storage, batch_size> addresses;
    const std::size_t count = std::min(packets.size(), batch_size);
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto payload = packets[i]->payload();
        vectors[i] = {const_cast<std::byte*>(payload.data()), payload.size()};
        headers[i].msg_hdr.msg_iov = &vectors[i];
        headers[i].msg_hdr.msg_iovlen = 1;
        headers[i].msg_hdr.msg_name = &addresses[i];
        headers[i].msg_hdr.msg_namelen = to_sockaddr(packets[i]->peer, addresses[i]);
    }
    const int sent = sendmmsg(descriptor, headers.data(), static_cast<unsigned>(count), MSG_DONTWAIT);
    return sent < 0 ? 0 : static_cast<std::size_t>(sent);
}

std::size_t send_all(int descriptor, std::span<packet* const> packets)
{
    std::size_t refused = 0;
    while (!packets.empty())
    {
        const auto sent = send_batch(descriptor, packets);
        refused += sent == 0 ? 1 : 0;
        packets = packets.subspan(std::max<std::size_t>(sent, 1));
    }
    return refused;
}

} // namespace galenabay::net
