#pragma once

#include "../stand_in/datagram_socket.hpp"

#include <galenabay/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace galenabay::stand_in
{

/// A service that the load run sends to. Plain value.
struct target_service
{
    std::string name;
    std::uint16_t port = 0;
    bool is_datagram = false;
    /// Kinds of requests that this service gets.
    bool feeds = false;
    bool holds = false;
    bool profiles = false;
    bool titles = false;
};

/// Settings of the load run. Plain value.
struct load_settings
{
    std::vector<std::string> hosts;
    /// File with one host address per line, read again regularly; replaces `hosts`.
    std::string hosts_file;
    std::vector<target_service> services;
    std::size_t callers = 64;
    std::size_t feeds = 0;
    std::size_t datagram_flows = 0;
    double requests_per_second = 100;
    /// Shares of holds and of block-wise documents among the requests.
    double post_percent = 30;
    double title_percent = 10;
    /// Factor of the request rate in the last quarter of each period.
    double swing_factor = 1;
    base::duration swing_period{10'000'000};
    /// Time in which requests are started.
    base::duration length{10'000'000};
    base::duration ack_timeout{500'000};
    unsigned max_retransmit = 4;
    /// A request without an answer after this time is lost.
    base::duration answer_timeout{25'000'000};
    /// Time between renewals of a feed.
    base::duration feed_keepalive{10'000'000};
    /// A feed without notifications for this time is registered again.
    base::duration feed_renewal{4'000'000};
    /// A feed without notifications for this time is broken.
    base::duration feed_silence{20'000'000};
    /// File to which the outcomes of holds are appended; empty: none.
    std::string record;
    /// File to which the summary is also written; empty: none.
    std::string report;
    /// File with the names of upstreams, one per line, whose feeds may break.
    std::string excused_upstreams;
    std::size_t lost_allowed = 0;
    datagram_faults faults;
    std::uint64_t seed = 1;
};

} // namespace galenabay::stand_in
