#pragma once

#include <galenabay/net/packet.hpp>

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/result.hpp>

#include <cstddef>
#include <span>
#include <utility>

namespace galenabay::net
{

/// Largest number of datagrams per system call.
constexpr std::size_t batch_size = 32;

/// A bound, non-blocking UDP socket. Movable owner of the descriptor; one thread may read while another writes.
class udp_socket
{
public:
    /// Opens a socket and binds it. Errors: `io_failure` with the local endpoint as peer.
    static base::result<udp_socket> bind(const base::endpoint& local);

    udp_socket(udp_socket&& other) noexcept : descriptor_{std::exchange(other.descriptor_, -1)} {}
    udp_socket& operator=(udp_socket&& other) noexcept;
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;
    ~udp_socket();

    int descriptor() const noexcept { return descriptor_; }
    /// Returns the address and port to which the socket is bound.
    base::endpoint local() const;

private:
    explicit udp_socket(int descriptor) : descriptor_{descriptor} {}

    int descriptor_;
};

/// Result of `receive_batch`.
struct receive_result
{
    std::size_t received = 0;
    /// Received datagrams longer than `packet::capacity`; their packets have an empty payload.
    std::size_t oversize = 0;
};

/// Reads up to `packets.size()` datagrams (at most `batch_size`) without blocking; sets payload, peer and socket of
/// each.
receive_result receive_batch(int descriptor, std::span<packet* const> packets);

/// Sends packets (at most `batch_size`) on one descriptor without blocking; returns how many the kernel accepted.
std::size_t send_batch(int descriptor, std::span<packet* const> packets);

/// Sends each of the packets on one descriptor without blocking; one that the kernel does not accept, for example
/// because of its address, does not affect the others. Returns the number of those.
std::size_t send_all(int descriptor, std::span<packet* const> packets);

} // namespace galenabay::net
