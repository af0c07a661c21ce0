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

/// Action of a host on a packet that it received.
enum class verdict
{
    /// Send to `upstream`.
    forward,
    /// Send to the host `relay_to`, which decides.
    relay,
    drop,
};

/// Reason for which a packet is dropped; `none` for the other verdicts.
enum class drop_reason
{
    none,
    /// No revision is in force on this host.
    no_revision,
    /// No service has this address.
    unknown_service,
    /// The address belonged to another service a short time ago and the packet
    /// may be meant for that one.
    address_moved,
    /// The service is draining and the flow is unknown.
    service_draining,
    /// No upstream accepts new flows.
    no_upstream,
    /// The flow's upstream was removed; the caller has to open a new flow.
    upstream_gone,
    /// The packet was relayed more often than the hop limit allows.
    too_many_hops,
    /// The flow's upstream can't be determined yet; the caller has to
    /// retransmit.
    undecided,
};

/// Number of values of `drop_reason`.
constexpr std::size_t drop_reason_count = 9;

/// Returns the lower-case name of a reason, as used in metrics.
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

/// Settings of `steering`, fixed at construction.
struct steering_settings
{
    /// Name of this host.
    std::string self;
    /// Largest number of flows in the flow table.
    std::size_t table_size = 262144;
    /// Seed of the nonces that identify record requests.
    std::uint64_t seed = 1;
};

/// Counters of `steering` since its construction.
struct steering_counters
{
    /// Flows in the table now; the only value that can fall.
    std::uint64_t flows = 0;
    /// Flows evicted after their idle timeout.
    std::uint64_t evicted_idle = 0;
    /// Flows evicted because their bucket was full.
    std::uint64_t evicted_full = 0;
    std::uint64_t relayed = 0;
    std::uint64_t records_sent = 0;
    std::uint64_t records_received = 0;
    std::uint64_t dropped[drop_reason_count] = {};
};

/// Chooses the upstream of each flow so that every host makes the same choice,
/// and an established flow keeps its upstream through planned changes.
///
/// Pure decision logic: time and seed are parameters; it does no I/O, reads no
/// clock and starts no thread. Owned by one thread.
class steering
{
public:
    explicit steering(steering_settings settings);
    steering(steering&&) noexcept;
    steering& operator=(steering&&) noexcept;
    ~steering();

    /// Puts a revision in force. Ignores a revision whose number is not larger
    /// than that of the one in force.
    void on_revision(const config::accepted_revision& revision, base::time_point now);

    /// Replaces the set of hosts that decide on packets. `hosts` is sorted by
    /// name and contains this host when it is ready.
    void on_hosts(std::span<const membership::live_host> hosts, base::time_point now);

    /// Records the reported health of an upstream. Reports are a hint: they are
    /// ignored while fewer than half of a service's upstreams are healthy, so
    /// they never leave a service without upstreams.
    void on_health(config::upstream_id upstream, bool healthy, base::time_point now);

    /// Records an answer of any kind from an upstream, a health report included.
    /// An upstream that answers keeps its established flows, whatever health it
    /// reports.
    void on_alive(config::upstream_id upstream, base::time_point now);

    /// Decides on a packet from a caller to a service address. `hops` is the
    /// number of hosts that relayed it.
    decision on_packet(const base::endpoint& caller, const base::endpoint& service, std::uint8_t hops,
                       base::time_point now);

    /// Records a packet from an upstream to a caller, which resets the flow's
    /// idle time.
    void on_upstream_packet(const base::endpoint& caller, const base::endpoint& service, const base::endpoint& upstream,
                            base::time_point now);

    /// Applies records received from a peer.
    void on_records(std::span<const flow_record> records, base::time_point now);

    /// Returns records to send to the host with index `host` of the last
    /// `on_hosts`, at most `budget_bytes` by `flow_record::wire_size`, and
    /// removes them from its queue.
    std::vector<flow_record> take_records(std::size_t host, std::size_t budget_bytes, base::time_point now);

    /// Advances time: evicts idle flows and ends transitions. Call at least
    /// every second. `paused` is true when the process did not run for a while;
    /// records are then requested again from every peer, because other hosts
    /// may have moved flows in the meantime.
    void on_tick(base::time_point now, bool paused);

    /// Last check before a datagram is sent: returns true when `upstream`
    /// belongs to the service that owns this address, or that owned it and
    /// whose transition has not ended.
    bool may_reach(const base::endpoint& service, const base::endpoint& upstream) const;

    const steering_counters& counters() const noexcept;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace galenabay::flow
