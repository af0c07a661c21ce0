#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/peers/host_status.hpp>
#include <galenabay/peers/load_sums.hpp>
#include <galenabay/peers/relayed_syn.hpp>
#include <galenabay/peers/upstream_changes.hpp>
#include <galenabay/steer/warm_up_shares.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace galenabay::peers
{

/// Content of one datagram between hosts.
using message = std::variant<host_status, upstream_changes, load_summary, load_digest, member_list,
                             steer::warm_up_shares, relayed_syn>;

/// Encodes a message as packed Cap'n Proto.
std::vector<std::byte> encode(const message& value);
/// Decodes a datagram. Errors: `malformed`, for bytes that are no message or exceed the
/// size limits of one.
base::result<message> decode_message(std::span<const std::byte> bytes);

/// Encodes the complete state as packed Cap'n Proto, for the body of an HTTP response.
std::string encode(const edge_state& state);
/// Decodes the body of an HTTP response, which may be compressed by `base::compress`. Errors: `malformed`;
/// `out_of_range` for one that is too long when decompressed.
base::result<edge_state> decode_state(const std::string& body);

} // namespace galenabay::peers
