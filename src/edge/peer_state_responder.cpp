#include "peer_state_responder.hpp"

#include <galenabay/base/gzip.hpp>
#include <galenabay/peers/message_codec.hpp>

#include <chrono>
#include <utility>

namespace galenabay::edge
{

net::status_response peer_state_responder::respond(adapter::object_kind kind, base::time_point now)
{
    auto known = state_.snapshot(kind);
    if (!known)
    {
        return {net::status_unavailable, "not ready"};
    }
    auto& [source, body] = encoded_[static_cast<std::size_t>(kind)];
    if (source != known)
    {
        body = peers::encode(*known);
        if (body.size() > max_plain_state_bytes)
        {
            body = base::compress(body);
        }
        source = std::move(known);
    }
    if (body.size() > max_peer_state_bytes)
    {
        return {net::status_unavailable, "too large: read the store"};
    }
    if (body.size() > max_unlimited_state_bytes)
    {
        if (now < next_large_)
        {
            return {net::status_unavailable, "busy: ask another host"};
        }
        const std::chrono::duration<double> time{static_cast<double>(body.size()) / large_state_bytes_per_second};
        next_large_ = now + std::chrono::duration_cast<base::duration>(time);
    }
    return {net::status_ok, body};
}

} // namespace galenabay::edge
