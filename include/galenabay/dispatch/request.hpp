#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/config/service_set.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace galenabay::dispatch
{

/// Bytes of a datagram, shared without copying.
using datagram = std::shared_ptr<const std::vector<std::byte>>;

/// Identity of a request: hash of caller, service, token and message id. A
/// retransmission has the same key.
using request_key = std::uint64_t;

/// CoAP request methods (RFC 7252 section 12.1.1, RFC 8132).
enum class method : std::uint8_t
{
    get = 1,
    post = 2,
    put = 3,
    remove = 4,
    fetch = 5,
    patch = 6,
    ipatch = 7,
};

/// Returns true when running a request twice has the same effect as once.
constexpr bool is_idempotent(method value) noexcept
{
    return value != method::post && value != method::patch;
}

/// Returns true when the answer may come in blocks (RFC 7959).
constexpr bool may_have_blocks(method value) noexcept
{
    return value == method::get || value == method::fetch;
}

/// A request as received from a caller. Plain value.
struct request
{
    request_key key = 0;
    config::service_id service = 0;
    base::endpoint service_address;
    base::endpoint caller;
    /// CoAP token, zero-extended, and its length in bytes (0 to 8).
    std::uint64_t token = 0;
    std::uint8_t token_length = 0;
    std::uint16_t message_id = 0;
    bool confirmable = true;
    dispatch::method method = dispatch::method::get;
    /// Hash of the URI path.
    std::uint64_t path = 0;
    /// Number of the Block2 option (RFC 7959); 0 when absent.
    std::uint32_t block = 0;
    dispatch::datagram bytes;
};

/// An upstream's answer. Plain value.
struct answer
{
    base::endpoint service_address;
    base::endpoint caller;
    base::endpoint upstream;
    std::uint64_t token = 0;
    std::uint8_t token_length = 0;
    std::uint16_t message_id = 0;
    /// CoAP code, class in the upper three bits (2.05 is 0x45).
    std::uint8_t code = 0;
    /// True when the answer is an acknowledgement that carries `message_id`.
    bool piggybacked = false;
    /// True when a Block2 option (RFC 7959) says that more blocks follow.
    bool more_blocks = false;
    dispatch::datagram bytes;
};

} // namespace galenabay::dispatch
