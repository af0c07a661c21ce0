#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/dispatch/request.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace galenabay::dispatch
{

/// Reason for which a request was refused or its answer withheld; each has its
/// own counter.
enum class refusal
{
    queue_full,
    /// The request couldn't be finished before its deadline.
    deadline_unreachable,
    /// Evicted from a full queue, because the caller is over its fair share.
    caller_over_share,
    no_upstream,
    service_draining,
    host_leaving,
    /// A first block was withheld: another host may be deciding too.
    not_deciding,
    upstream_refused,
    /// The request may have run.
    outcome_unknown,
    no_deciding_host,
};
constexpr std::size_t refusal_count = 10;
/// Returns the reason's name, as in metric labels.
const char* name_of(refusal reason);

/// Reason for which a request was sent to an upstream once more; each has its
/// own counter.
enum class retry_reason
{
    upstream_refused,
    upstream_silent,
    upstream_gone,
    hedge,
};
constexpr std::size_t retry_reason_count = 4;
/// Returns the reason's name, as in metric labels.
const char* name_of(retry_reason reason);

/// Send the request to an upstream.
struct send_to_upstream
{
    request_key key = 0;
    base::endpoint upstream;
    base::endpoint service_address;
    base::endpoint caller;
    /// Time left for the upstream; written to the PROXY header.
    std::uint32_t deadline_ms = 0;
    std::uint8_t attempt = 1;
    datagram bytes;
};

/// Cancel a request at an upstream by an RST with its message id.
struct cancel_at_upstream
{
    request_key key = 0;
    base::endpoint upstream;
    base::endpoint service_address;
    base::endpoint caller;
    std::uint16_t message_id = 0;
};

/// Deliver an upstream's answer to the caller.
struct deliver
{
    request_key key = 0;
    base::endpoint service_address;
    base::endpoint caller;
    datagram bytes;
    /// The upstream that answered.
    config::upstream_id upstream = 0;
    /// True for the first of several blocks (RFC 7959).
    bool starts_transfer = false;
};

/// Answer the caller with 5.03 (`known_not_run`) or 5.04.
struct refuse
{
    request_key key = 0;
    base::endpoint service_address;
    base::endpoint caller;
    std::uint64_t token = 0;
    std::uint8_t token_length = 0;
    std::uint16_t message_id = 0;
    bool confirmable = true;
    /// True: the request certainly did not run (5.03). False: unknown (5.04).
    bool known_not_run = false;
    std::uint32_t max_age_s = 0;
    refusal reason = refusal::queue_full;
};

/// Relay the request to the host that decides it.
struct relay_request
{
    request_key key = 0;
    std::string host;
    base::endpoint service_address;
    base::endpoint caller;
    datagram bytes;
};

/// Values of `send_intent::upstream`: whether the request is about to run or to
/// be refused.
constexpr config::upstream_id intent_to_refuse = 0;
constexpr config::upstream_id intent_to_run = 1;
/// As `intent_to_run`, from a host of another data centre to which the request
/// was reassigned by a change of the configuration.
constexpr config::upstream_id intent_to_run_elsewhere = 2;

/// Ask a host to record that this host is about to run or refuse a request. It
/// declines when the request may have run elsewhere or another host has claimed
/// it.
struct send_intent
{
    std::string host;
    request_key key = 0;
    config::upstream_id upstream = 0;
    std::uint64_t sequence = 0;
};

/// Accept or decline another host's intent.
struct send_intent_reply
{
    std::string host;
    request_key key = 0;
    std::uint64_t sequence = 0;
    bool accepted = false;
};

using action =
    std::variant<send_to_upstream, cancel_at_upstream, deliver, refuse, relay_request, send_intent, send_intent_reply>;
using actions = std::vector<action>;

} // namespace galenabay::dispatch
