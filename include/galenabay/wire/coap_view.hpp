#pragma once

#include <galenabay/base/result.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace galenabay::wire
{

/// Message type (RFC 7252 section 3).
enum class coap_type : std::uint8_t
{
    confirmable = 0,
    non_confirmable = 1,
    acknowledgement = 2,
    reset = 3,
};

/// Value of a Block option (RFC 7959 section 2.2).
struct block_option
{
    std::uint32_t number = 0;
    bool more = false;
    /// Block size is 2^(size_exponent + 4) bytes.
    std::uint8_t size_exponent = 6;

    friend bool operator==(const block_option&, const block_option&) = default;
};

/// The parts of a CoAP message (RFC 7252) that the balancer acts on. Plain value.
struct coap_view
{
    coap_type type = coap_type::confirmable;
    /// Class in the upper three bits, detail in the lower five; 0 is an empty
    /// message.
    std::uint8_t code = 0;
    std::uint16_t message_id = 0;
    /// The token's bytes as a big-endian number.
    std::uint64_t token = 0;
    /// Length of the token in bytes, 0 to 8.
    std::uint8_t token_length = 0;
    /// Observe option (RFC 7641). In a request 0 registers and 1 deregisters; in
    /// a notification it is the sequence number.
    std::optional<std::uint32_t> observe;
    std::optional<block_option> block2;
    std::optional<std::uint32_t> max_age;
    std::optional<std::uint64_t> etag;
    /// Path such as "/a/b", without query. A '/' or '%' within a segment is
    /// written as "%2F" or "%25".
    std::string path;
    /// Offset and size of the payload within the parsed datagram.
    std::size_t payload_offset = 0;
    std::size_t payload_size = 0;

    bool is_empty() const noexcept { return code == 0; }
    bool is_request() const noexcept { return code >= 0x01 && code <= 0x1f; }
    bool is_response() const noexcept { return code >= 0x40; }
};

// Response codes (RFC 7252 section 12.1.2).
constexpr std::uint8_t code_content = 0x45;
constexpr std::uint8_t code_changed = 0x44;
constexpr std::uint8_t code_created = 0x41;
constexpr std::uint8_t code_bad_request = 0x80;
constexpr std::uint8_t code_not_found = 0x84;
constexpr std::uint8_t code_unavailable = 0xa3;
constexpr std::uint8_t code_gateway_timeout = 0xa4;

/// Parses one datagram. Errors: `malformed`.
base::result<coap_view> parse_coap(std::span<const std::byte> datagram);

/// Parses only the type, code, message id and token. Used to answer 4.00 to a
/// datagram whose options are malformed. Empty when the fixed header is
/// malformed; the token is empty when it is cut off or too long.
std::optional<coap_view> parse_coap_prefix(std::span<const std::byte> datagram);

/// A message to encode; an option is written when it is set. The fields are as
/// in `coap_view`.
struct coap_message
{
    coap_type type = coap_type::confirmable;
    std::uint8_t code = 0;
    std::uint16_t message_id = 0;
    std::uint64_t token = 0;
    std::uint8_t token_length = 0;
    std::optional<std::uint32_t> observe;
    std::optional<block_option> block2;
    std::optional<std::uint32_t> max_age;
    std::optional<std::uint64_t> etag;
    std::string path;
    std::vector<std::byte> payload;
};

/// Encodes a message. Errors: `out_of_range` when a field does not fit its option
/// or the message does not fit a datagram.
base::result<std::vector<std::byte>> encode_coap(const coap_message& message);

} // namespace galenabay::wire
