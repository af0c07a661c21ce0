#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/config/accepted_revision.hpp>
#include <galenabay/dispatch/action.hpp>
#include <galenabay/dispatch/request.hpp>
#include <galenabay/membership/host.hpp>

#include <cstdint>
#include <memory>
#include <span>
#include <string>

namespace galenabay::dispatch
{

/// Settings of a `dispatcher`, fixed at its construction.
struct dispatcher_settings
{
    /// Name and data centre of this host.
    std::string self;
    std::string data_centre;
    std::uint64_t seed = 1;
    /// A gap between two ticks that is longer than this means that the process
    /// was paused.
    base::duration pause_limit{1'000'000};
    /// Time in which a caller may repeat a request (RFC 7252 section 4.8.2,
    /// MAX_TRANSMIT_SPAN). A host that started, or lost contact with others, less
    /// than this ago can't rule out that a request already ran.
    base::duration retransmission_span{45'000'000};
    /// Time after a start or pause in which a host may not yet have received the
    /// reports of all live hosts; it runs no request that isn't idempotent. A host
    /// should become ready only after this time.
    base::duration settle_time{3'500'000};
    /// Time for which replies are kept for retransmissions.
    base::duration reply_retention{93'000'000};
    /// Time for which the key of a request that has ended, or that another host
    /// has claimed, is kept (RFC 7252, EXCHANGE_LIFETIME).
    base::duration key_retention{247'000'000};
};

/// Counters of a `dispatcher` since its construction.
struct dispatcher_counters
{
    std::uint64_t requests = 0;
    std::uint64_t retransmissions = 0;
    std::uint64_t delivered = 0;
    std::uint64_t stray_answers = 0;
    std::uint64_t relayed = 0;
    std::uint64_t intents_sent = 0;
    std::uint64_t intents_refused = 0;
    std::uint64_t refused[refusal_count] = {};
    std::uint64_t retried[retry_reason_count] = {};
};

/// Decides where and when each request runs.
///
/// Pure decision logic: its inputs are events, the time and a seed, its output is
/// a list of actions. It performs no I/O, reads no clock and starts no thread.
/// Used by one thread only.
class dispatcher
{
public:
    explicit dispatcher(dispatcher_settings settings);
    dispatcher(dispatcher&&) noexcept;
    dispatcher& operator=(dispatcher&&) noexcept;
    ~dispatcher();

    /// Puts `revision` in force; services that it lacks are drained.
    void on_revision(const config::accepted_revision& revision, base::time_point now);

    /// Sets the ready hosts, sorted by name, this host included when ready.
    /// Each request is decided by one of them.
    actions on_hosts(std::span<const membership::live_host> hosts, base::time_point now);

    /// Sets the hosts that exist, alive or not (`member_view::contacts`), and
    /// which of them have announced that they leave. Requests are divided among
    /// their data centres, and a host that is missing without having announced
    /// it may have run requests that this host has no record of. Without this
    /// call, the hosts seen in `on_hosts` are used.
    void on_listed_hosts(std::span<const membership::listed_host> hosts, base::time_point now);

    /// Handles a request that came from its caller (`relayed` false) or was
    /// relayed by another host.
    actions on_request(const request& arrived, bool relayed, base::time_point now);

    /// Handles an answer from an upstream that carries a token or message id.
    actions on_answer(const answer& arrived, base::time_point now);

    /// Returns true when an answer belongs to a request that this host sent.
    bool expects(const answer& arrived) const;

    /// Handles the intent of host `from` to run or refuse a request; `upstream`
    /// is one of the `intent_to_*` values.
    actions on_intent(const std::string& from, request_key key, config::upstream_id upstream, std::uint64_t sequence,
                      base::time_point now);
    /// Handles the answer of host `from` to an intent of this host.
    actions on_intent_reply(const std::string& from, request_key key, std::uint64_t sequence, bool accepted,
                            base::time_point now);

    /// Records the reported health of an upstream. It only ranks upstreams and
    /// excludes none; `running`, the reported load, is ignored.
    void on_health(config::upstream_id upstream, bool healthy, std::uint32_t running, base::time_point now);

    /// Handles deadlines, retries, hedges and the ends of upstream backoff. Call
    /// at least every 10 ms while requests are open, and at least every 100 ms
    /// otherwise.
    actions on_tick(base::time_point now);

    /// Starts a planned stop: queued requests are relayed to another host or
    /// refused, requests in flight are finished.
    actions on_leave(base::time_point now);

    /// Number of requests that wait or run here. While leaving, also counts the
    /// claims that still have to be replicated.
    std::size_t open_requests() const noexcept;

    const dispatcher_counters& counters() const noexcept;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace galenabay::dispatch
