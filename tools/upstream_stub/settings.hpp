#pragma once

#include "../stand_in/datagram_socket.hpp"

#include <galenabay/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace galenabay::stand_in
{

/// Protocol of the upstreams.
enum class stub_kind
{
    coap,
    datagram,
};

/// Settings of all upstreams of one process. Plain value.
struct stub_settings
{
    /// Name in each answer, so that a caller can detect an answer of another service.
    std::string service = "service";
    stub_kind kind = stub_kind::coap;
    /// Requests that run concurrently, and requests that may be queued for them.
    std::size_t slots = 3;
    std::size_t backlog = 6;
    /// Maximum number of feeds or flows.
    std::size_t connections = 2000;
    /// Mean service time of a request.
    base::duration service_time{20'000};
    /// Share of slow requests, and the factor by which their service time is longer.
    double straggler_percent = 1;
    double straggler_factor = 50;
    base::duration feed_interval{1'000'000};
    /// Share of confirmable notifications.
    double confirmable_percent = 10;
    /// Time after a start in which requests take longer.
    base::duration cold_time{0};
    /// Maximum age of the load report.
    base::duration report_lag{0};
    /// Caches answers by caller and message id, to repeat them to a retransmitted request
    /// (RFC 7252 section 4.2).
    bool deduplicate = false;
    /// Callers send directly to the upstream, without a PROXY header.
    bool direct = false;
    datagram_faults faults;
    std::uint64_t seed = 1;
};

} // namespace galenabay::stand_in
