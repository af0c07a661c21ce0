#pragma once

#include <galenabay/net/packet.hpp>

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/result.hpp>

#include <cstddef>
#include <span>
#include <utility>

namespace galenabay::net
{

/// Datagrams moved by one system call at most.
constexpr std::size_t batch_size = 32;

/// A bound, non-blocking UDP socket. Movable owner of the descriptor; reading
/// and writing may happen on two threads.
class udp_socket
{
public:
    /// Errors: `io_failure` with the local endpoint as peer.
    static base::result<udp_socket> bind(const base::endpoint& local);

    udp_socket(udp_socket&& other) noexcept : descriptor_{std::exchange(other.descriptor_, -1)} {}
    udp_socket& operator=(udp_socket&& other) noexcept;
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;
    ~udp_socket();

    int descriptor() const noexcept { return descriptor_; }
    /// Address and port that the socket is bound to.
    base::endpoint local() const;

private:
    explicit udp_socket(int descriptor) : descriptor_{descriptor} {}

    int descriptor_;
};

/// Outcome of one batch of reads.
struct receive_result
{
    std::size_t received = 0;
    /// Datagrams longer than `packet::capacity`; their packets are marked by an
    /// empty payload.
    std::size_t oversize = 0;
};

/// Reads up to `packets.size()` datagrams (at most `batch_size`) without waiting;
/// sets payload and peer of each.
receive_result receive_batch(int descriptor, std::span<packet* const> packets);

/// Sends packets that share a descriptor; returns how many the kernel took.
std::size_t send_batch(int descriptor, std::span<packet* const> packets);

} // namespace galenabay::net
