#pragma once

#include "peer_state.hpp"
#include "shared_state.hpp"

#include <galenabay/base/time.hpp>
#include <galenabay/net/status_server.hpp>

#include <array>
#include <cstddef>
#include <memory>
#include <string>

namespace galenabay::edge
{

/// Largest state that is served without compression, in bytes.
constexpr std::size_t max_plain_state_bytes = 64U << 10U;
/// Largest state that is served at all: a link of 10 Mbit/s takes less than the time that other hosts wait for it.
constexpr std::size_t max_peer_state_bytes = 512U << 10U;
/// Rate of larger states than `max_unlimited_state_bytes`: a fifth of a link of 10 Mbit/s.
constexpr std::size_t large_state_bytes_per_second = 256U << 10U;

/// Serves this host's state to other hosts, which cannot rely on the store: it may turn them away. Hosts that get no
/// large state because of the rate ask another host or the store; each one that has it serves it, too. Used by one
/// thread.
class peer_state_responder
{
public:
    explicit peer_state_responder(const shared_state& state) : state_{state} {}

    /// Returns the state of one kind of objects, or 503 with the reason.
    net::status_response respond(adapter::object_kind kind, base::time_point now);

private:
    struct encoded_state
    {
        std::shared_ptr<const peers::edge_state> source;
        std::string body;
    };

    const shared_state& state_;
    std::array<encoded_state, adapter::object_kind_count> encoded_;
    /// When the next large state may be served.
    base::time_point next_large_{};
};

} // namespace galenabay::edge
