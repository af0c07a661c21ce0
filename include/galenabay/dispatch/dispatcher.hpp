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
    /// MAX_TRANSMIT_SPAN). A host that started, or lost sight of others, less
    /// than this ago can't exclude that a request ran before.
    base::duration retransmission_span{45'000'000};
    /// Time after a start or pause in which a host doesn't yet know which others
    /// are alive and runs no request that isn't idempotent. A host should be
    /// ready to decide only after this time.
    base::duration settle_time{3'500'000};
    /// Time for which replies are kept for retransmissions.
    base::duration reply_retention{93'000'000};
    /// Time for which the identity of a request that has ended, or that another
    /// host has claimed, is kept (RFC 7252, EXCHANGE_LIFETIME).
    base::duration key_retention{247'000'000};
};

/// Counts kept by `dispatcher` since it was made.
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
/// Pure decision logic: time and seed come in, a list of actions goes out; no
/// I/O, clocks or threads. Owned by one thread.
class dispatcher
{
public:
    explicit dispatcher(dispatcher_settings settings);
    dispatcher(dispatcher&&) noexcept;
    dispatcher& operator=(dispatcher&&) noexcept;
    ~dispatcher();

    void on_revision(const config::accepted_revision& revision, base::time_point now);

    /// The hosts that decide, sorted by name, this host included when ready.
    actions on_hosts(std::span<const membership::live_host> hosts, base::time_point now);

    /// The hosts that exist, whether alive or not: listed by the platform or
    /// heard before (`member_view::contacts`), with those that have announced
    /// that they leave. Requests are divided among their data centres, and a
    /// host that is missing without having left may hold what this one doesn't
    /// know. Without this call they are the ones seen in `on_hosts`.
    void on_listed_hosts(std::span<const membership::listed_host> hosts, base::time_point now);

    /// A request from a caller, directly (`relayed` false) or from another host.
    actions on_request(const request& arrived, bool relayed, base::time_point now);

    /// An answer from an upstream that carries a token or message id.
    actions on_answer(const answer& arrived, base::time_point now);

    /// True when an answer belongs to a request that this host sent.
    bool expects(const answer& arrived) const;

    /// Another host asks whether it may run or refuse a request.
    actions on_intent(const std::string& from, request_key key, config::upstream_id upstream, std::uint64_t sequence,
                      base::time_point now);
    actions on_intent_reply(const std::string& from, request_key key, std::uint64_t sequence, bool accepted,
                            base::time_point now);

    /// Reported load or health of an upstream; a hint only.
    void on_health(config::upstream_id upstream, bool healthy, std::uint32_t running, base::time_point now);

    /// Deadlines, retries, ramps. Call at least every 10 ms while requests are
    /// open, and at least every 100 ms otherwise.
    actions on_tick(base::time_point now);

    /// Starts a planned stop: queued requests are handed on or refused, requests
    /// in flight are finished.
    actions on_leave(base::time_point now);

    /// Requests that wait or run here.
    std::size_t open_requests() const noexcept;

    const dispatcher_counters& counters() const noexcept;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace galenabay::dispatch
