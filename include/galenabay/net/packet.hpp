#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/config/service_set.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace galenabay::net
{

/// Kind of the socket on which a packet was received.
enum class packet_origin : std::uint8_t
{
    caller,
    upstream,
    host,
};

/// Buffer of one datagram that the receive, decide and send threads pass on. Owned by the `packet_pool`; exactly one
/// thread uses it at a time.
class packet
{
public:
    /// Space reserved in front of the payload for a PROXY header, in bytes.
    static constexpr std::size_t headroom = 128;
    /// Largest datagram that is received or sent, in bytes.
    static constexpr std::size_t capacity = 2048;

    /// Returns the space into which a datagram is read.
    std::span<std::byte> receive_buffer() noexcept { return {bytes_.data() + headroom, capacity}; }

    std::span<const std::byte> payload() const noexcept { return {bytes_.data() + begin_, size_}; }

    std::span<std::byte> mutable_payload() noexcept { return {bytes_.data() + begin_, size_}; }

    /// Sets the size of a datagram that was read into `receive_buffer`.
    void set_received_size(std::size_t size) noexcept
    {
        begin_ = headroom;
        size_ = std::min(size, capacity);
    }

    /// Removes up to `size` bytes from the front of the payload.
    void remove_prefix(std::size_t size) noexcept
    {
        const std::size_t dropped = std::min(size, size_);
        begin_ += dropped;
        size_ -= dropped;
    }

    /// Prepends bytes to the payload. Returns false when the space in front of it is too small.
    bool prepend(std::span<const std::byte> bytes) noexcept
    {
        if (bytes.size() > begin_)
        {
            return false;
        }
        begin_ -= bytes.size();
        size_ += bytes.size();
        std::copy(bytes.begin(), bytes.end(), bytes_.begin() + static_cast<std::ptrdiff_t>(begin_));
        return true;
    }

    /// Replaces the payload. Returns false when it does not fit.
    bool assign(std::span<const std::byte> bytes) noexcept
    {
        if (bytes.size() > capacity)
        {
            return false;
        }
        std::copy(bytes.begin(), bytes.end(), bytes_.begin() + headroom);
        set_received_size(bytes.size());
        return true;
    }

    packet_origin origin = packet_origin::caller;
    /// True for a packet that is to be sent to an upstream.
    bool to_upstream = false;
    /// Descriptor on which the packet was received or is to be sent.
    int socket = -1;
    /// Sender of a received packet, destination of one to send.
    base::endpoint peer;
    /// Service address that the packet belongs to.
    base::endpoint service;
    /// Service for which the upstream of a packet was chosen.
    config::service_id decided_service = 0;

private:
    std::size_t begin_ = headroom;
    std::size_t size_ = 0;
    std::array<std::byte, headroom + capacity> bytes_;
};

} // namespace galenabay::net
