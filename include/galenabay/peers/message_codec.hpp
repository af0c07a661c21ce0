#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/peers/host_status.hpp>
#include <galenabay/peers/upstream_changes.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace galenabay::peers
{

/// One datagram between hosts.
using message = std::variant<host_status, upstream_changes>;

/// Packed Cap'n Proto form of a message.
std::vector<std::byte> encode(const message& value);
/// Errors: `malformed`, for bytes that are no message or exceed the bounds of one.
base::result<message> decode_message(std::span<const std::byte> bytes);

/// Packed form of the complete state, as a body of an HTTP answer.
std::string encode(const edge_state& state);
/// Errors: `malformed`.
base::result<edge_state> decode_state(const std::string& body);

} // namespace galenabay::peers
