#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/config/accepted_revision.hpp>
#include <galenabay/flow/flow_record.hpp>
#include <galenabay/membership/host.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace galenabay::flow
{

enum class verdict
{
    /// Send to `upstream`.
    forward,
    /// Hand to the host `relay_to`, which decides.
    relay,
    drop,
};

enum class drop_reason
{
    none,
    /// No revision is in force here.
    no_revision,
    /// No service has this address.
    unknown_service,
    /// The address belonged to another service a short time ago and the packet
    /// may be meant for that one.
    address_moved,
    /// The service drains and the flow is not known.
    service_draining,
    /// No upstream takes new flows.
    no_upstream,
    /// The flow's upstream is gone; the caller has to open a new flow.
    upstream_gone,
    /// The packet was relayed too often.
    too_many_hops,
    /// Which upstream the flow is on can't be told for a moment; the caller has
    /// to send again.
    undecided,
};

constexpr std::size_t drop_reason_count = 9;

/// Stable lower-case name, as used in metrics.
const char* name_of(drop_reason reason);

/// The outcome for one packet. Plain value.
struct decision
{
    verdict action = verdict::drop;
    drop_reason reason = drop_reason::none;
    config::service_id service = 0;
    config::upstream_id upstream = 0;
    base::endpoint upstream_endpoint;
    /// Index into the hosts given to the last `on_hosts`; set for `relay`.
    std::size_t relay_to = 0;

    friend bool operator==(const decision&, const decision&) = default;
};

struct steering_settings
{
    /// Name of this host.
    std::string self;
    /// Largest number of flows remembered.
    std::size_t table_size = 262144;
    std::uint64_t seed = 1;
};

/// Counts kept by `steering` since it was made.
struct steering_counters
{
    std::uint64_t flows = 0;
    std::uint64_t evicted_idle = 0;
    std::uint64_t evicted_full = 0;
    std::uint64_t relayed = 0;
    std::uint64_t records_sent = 0;
    std::uint64_t records_received = 0;
    std::uint64_t dropped[drop_reason_count] = {};
};

/// Chooses the upstream of each flow so that every host makes the same choice,
/// and an established flow keeps its upstream through planned changes.
///
/// Pure decision logic: time and seed come in, no I/O, clocks or threads.
/// Owned by one thread.
class steering
{
public:
    explicit steering(steering_settings settings);
    steering(steering&&) noexcept;
    steering& operator=(steering&&) noexcept;
    ~steering();

    /// Puts a revision in force. An older number than the one in force is
    /// ignored.
    void on_revision(const config::accepted_revision& revision, base::time_point now);

    /// The hosts that decide, sorted by name, this host included when ready.
    void on_hosts(std::span<const membership::live_host> hosts, base::time_point now);

    /// Reported health of an upstream; a hint, never the only ground for leaving
    /// a service without upstreams.
    void on_health(config::upstream_id upstream, bool healthy, base::time_point now);

    /// An upstream answered something, a health report included; it is alive
    /// whatever it reports, and its established flows stay.
    void on_alive(config::upstream_id upstream, base::time_point now);

    /// A packet from a caller to a service address. `hops` is the number of
    /// hosts that relayed it.
    decision on_packet(const base::endpoint& caller, const base::endpoint& service, std::uint8_t hops,
                       base::time_point now);

    /// A packet from an upstream to a caller; keeps the flow alive.
    void on_upstream_packet(const base::endpoint& caller, const base::endpoint& service, const base::endpoint& upstream,
                            base::time_point now);

    /// Records received from a peer.
    void on_records(std::span<const flow_record> records, base::time_point now);

    /// Records to send to the host with index `host` of the last `on_hosts`; at
    /// most `budget_bytes` by `flow_record::wire_size`.
    std::vector<flow_record> take_records(std::size_t host, std::size_t budget_bytes, base::time_point now);

    /// Advances time: forgets idle flows, ends transitions. Call at least every
    /// second. `paused`: the process was stopped for a while, so what other
    /// hosts may have changed since must be learned again.
    void on_tick(base::time_point now, bool paused);

    /// Last check before a datagram leaves: true when `upstream` belongs to the
    /// service that owns, or in an unfinished transition owned, this address.
    bool may_reach(const base::endpoint& service, const base::endpoint& upstream) const;

    const steering_counters& counters() const noexcept;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace galenabay::flow
