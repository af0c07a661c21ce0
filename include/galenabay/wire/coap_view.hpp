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

enum class coap_type : std::uint8_t
{
    confirmable = 0,
    non_confirmable = 1,
    acknowledgement = 2,
    reset = 3,
};

/// Block option value (RFC 7959 section 2.2).
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
    /// Class in the upper three bits; 0 is an empty message.
    std::uint8_t code = 0;
    std::uint16_t message_id = 0;
    std::uint64_t token = 0;
    std::uint8_t token_length = 0;
    /// Observe option (RFC 7641): 0 registers, 1 deregisters in a request.
    std::optional<std::uint32_t> observe;
    std::optional<block_option> block2;
    std::optional<std::uint32_t> max_age;
    std::optional<std::uint64_t> etag;
    /// "/a/b" without query.
    std::string path;
    /// Offset and size of the payload within the parsed datagram.
    std::size_t payload_offset = 0;
    std::size_t payload_size = 0;

    bool is_empty() const noexcept { return code == 0; }
    bool is_request() const noexcept { return code >= 0x01 && code <= 0x1f; }
    bool is_response() const noexcept { return code >= 0x40; }
};

constexpr std::uint8_t code_content = 0x45;
constexpr std::uint8_t code_changed = 0x44;
constexpr std::uint8_t code_created = 0x41;
constexpr std::uint8_t code_bad_request = 0x80;
constexpr std::uint8_t code_not_found = 0x84;
constexpr std::uint8_t code_unavailable = 0xa3;
constexpr std::uint8_t code_gateway_timeout = 0xa4;

/// Parses one datagram. Errors: `malformed`.
base::result<coap_view> parse_coap(std::span<const std::byte> datagram);

/// Type, message id and token of a datagram whose options are malformed, as far
/// as the fixed header can be read; used to answer 4.00.
std::optional<coap_view> parse_coap_prefix(std::span<const std::byte> datagram);

/// A message to encode; options are written when set.
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

/// Encodes a message. Errors: `out_of_range` when it does not fit a datagram.
base::result<std::vector<std::byte>> encode_coap(const coap_message& message);

} // namespace galenabay::wire
