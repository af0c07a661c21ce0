#pragma once

#include <galenabay/net/http_session.hpp>
#include <platform/store_objects.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>

namespace galenabay::edge
{

/// Largest state that a host serves at any rate, in bytes of the HTTP body: twenty hosts that ask at once then fill a
/// link of 10 Mbit/s for a second.
constexpr std::size_t max_unlimited_state_bytes = 64U << 10U;

/// Path at which a host serves its state of one kind of objects to other hosts.
inline std::string peer_state_path(adapter::object_kind kind)
{
    return std::string{"/state/"} + adapter::name_of(kind);
}

/// Path at which a host serves its estimates of the upstreams, in the encoding of `peers::answer_time_report_codec`.
/// Status 503 means that the estimates were requested from the packet thread: the next call gets them.
constexpr const char* answer_times_path = "/state/answer-times";

/// Path at which a host serves the number of new flows that it refused while slots were free by the latest sums, as
/// decimal digits.
constexpr const char* refusals_path = "/state/refusals";

/// Reads what a host serves at `path`. Errors: as `net::http_session::call`.
inline base::result<std::string> fetch_from_peer(const base::endpoint& peer, std::string path,
                                                 std::chrono::milliseconds timeout)
{
    // Largest accepted state of another host, which serves no more than 512 KiB of one kind of objects and 512
    // estimates with names of 255 bytes.
    constexpr std::size_t max_state_bytes = 1U << 20U;
    BOOST_OUTCOME_TRY(answer, net::http_session::make(peer, timeout)
                                  .call({.step = "read_from_peer",
                                         .method = "GET",
                                         .path = std::move(path),
                                         .body = {},
                                         .expected_version = {},
                                         .timeout = timeout,
                                         .max_response = max_state_bytes}));
    return std::move(answer.body);
}

/// Reads the encoded state of one kind of objects from another host. Errors: as
/// `net::http_session::call`.
inline base::result<std::string> fetch_peer_state(const base::endpoint& peer, adapter::object_kind kind,
                                                  std::chrono::milliseconds timeout)
{
    return fetch_from_peer(peer, peer_state_path(kind), timeout);
}

} // namespace galenabay::edge
