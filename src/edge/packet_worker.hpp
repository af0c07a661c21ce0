#pragma once

#include "edge_metrics.hpp"
#include "peer_link.hpp"
#include "probe_worker.hpp"
#include "shared_state.hpp"
#include "steering_log.hpp"
#include "store_update.hpp"
#include "warm_up_cleanup.hpp"
#include "warm_up_worker.hpp"

#include <galenabay/net/packet.hpp>
#include <galenabay/net/udp_socket.hpp>
#include <galenabay/net/wakeup_event.hpp>
#include <galenabay/peers/upstreams_position.hpp>
#include <galenabay/steer/steerer.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace galenabay::edge
{

/// Receives, decides and sends packets on one thread, which owns the `steerer`.
///
/// The three steps share a thread because a host has a twentieth of a core, and passing a
/// packet between threads would cost more than deciding it.
class packet_worker
{
public:
    using identity = peers::fleet_exchange::identity;

    /// `socket` receives the routers' datagrams, `peers` those of the other hosts. `seeds`:
    /// hosts through which this one finds the others.
    packet_worker(net::udp_socket socket, net::udp_socket peers, identity self, std::vector<base::endpoint> seeds,
                  const steer::steering_options& options, const peers::exchange_options& exchange, std::uint64_t seed,
                  shared_state& state, edge_metrics& metrics);
    packet_worker(const packet_worker&) = delete;
    packet_worker& operator=(const packet_worker&) = delete;
    ~packet_worker();

    /// Starts the threads; call it when the store threads are about to start. Throws `std::system_error` when the
    /// system refuses a thread; the one that has started then ends with `shared_state::stop`.
    void start();
    /// Waits, after `shared_state::stop`, until the thread has steered the packets that are in the
    /// socket, and has ended.
    void finish();

    /// Ring for the updates of the thread that follows `kind`, and the event by which that
    /// thread wakes this one.
    update_ring& updates(adapter::object_kind kind) { return updates_[static_cast<std::size_t>(kind)]; }
    net::wakeup_event& wakeup() noexcept { return wakeup_; }

private:
    static constexpr std::size_t ring_capacity = 64;

    void run();
    /// Waits for work and does it.
    void run_step();
    /// Sleeps until a datagram, an update or a probe result arrives or the next tick is due.
    void wait();
    /// Tells the decision logic when the process did not run: it was stopped, or the machine
    /// was suspended.
    void detect_pause();
    /// Returns true while received packets stay in the socket because this host has just
    /// started and is not ready.
    bool is_deferring(base::time_point now) const;
    /// Steers the packets of one batch. Returns false when there were none.
    bool receive(base::time_point now);
    /// Steers what has reached the socket before the thread ends.
    void receive_rest();
    /// Decides one packet and rewrites it in place. Returns true when it is to be sent.
    bool decide(net::packet& datagram, base::time_point now);
    /// Rewrites a packet in place by its decision, or passes it on. Returns true when it is to be sent.
    bool apply(steer::steering_decision decision, const steer::packet_header& header, net::packet& datagram,
               base::time_point now);
    /// Returns the host that takes a SYN for which this host has no token; nullopt when none is known.
    struct relay_host
    {
        std::string name;
        base::endpoint address;
    };
    std::optional<relay_host> find_relay_host(const steer::relay_target& target, base::time_point now);
    /// Passes a SYN on to another host. Returns false when there is none.
    bool pass_on(std::span<const std::byte> packet, const steer::relay_target& target, base::time_point now);
    /// Decides the SYNs that other hosts passed on.
    void decide_relayed(base::time_point now);
    void apply_queued(update_ring& ring);
    void apply(const store_update& update);
    void apply_configuration(const store_update& update);
    void apply_upstreams(const store_update& update);
    void process_outcome(const steer::steerer::outcome& effects, const steer::store_revision& revision,
                         base::time_point now);
    /// Logs, for each upstream of which flows were reset for its silence, the evidence.
    void log_silences(const std::vector<steer::lost_flow>& resets, base::time_point now);
    void send_resets(const std::vector<steer::lost_flow>& resets, base::time_point now);
    void apply_hosts(const store_update& update);
    void apply_peer_state(const store_update& update);
    void apply_changes(const peers::upstream_changes& changes);
    /// Logs and counts registrations in another host's message that cannot be used.
    void report_unusable(const peers::upstream_changes& changes, base::time_point now);
    void adopt(const steer::configuration& next, const steer::store_revision& revision);
    void apply_evacuations(const store_update& update);
    /// Adopts evacuations that were read from the store or received from another host, as `source`
    /// says, and tells the other hosts of a newer set that the store has.
    void adopt(const steer::evacuation_set& next, const char* source);
    /// Returns the evacuations for the other hosts; empty where data centres are not evacuated.
    std::optional<steer::evacuation_set> known_evacuations() const;
    /// Sends the changes that a watch returned to the other hosts.
    void send_changes(const store_update& update, const steer::store_revision& previous_revision);
    void exchange_with_peers(base::time_point now);
    /// Tells the `steerer` when neither this host nor another one of its data centre watches the store successfully.
    void check_watch(base::time_point now);
    /// Sends this host's status to the others without waiting for the next exchange.
    void send_urgent_status(base::time_point now);
    /// Decides whether this host watches the store, and tells the others of a change.
    void update_watch(base::time_point now);
    /// Decides whether this host collects loads, and logs a change.
    void update_roles(base::time_point now);
    /// Passes requested probes to the probe thread and applies the results.
    void exchange_probes(base::time_point now);
    /// Passes the calls that are due for starting upstreams to the warm-up thread.
    void request_warm_ups(base::time_point now);
    /// Applies the results of those calls.
    void apply_warm_up_reports(base::time_point now);
    void apply_claim(const steer::claim_answer& answer, base::time_point now);
    /// Applies the list of the processes that share the rate of a starting upstream.
    void apply_shares(const steer::warm_up_shares& shares, base::time_point now);
    /// Sends the lists that are due to the processes that they name.
    void send_shares(base::time_point now);
    /// Returns the starting upstreams of which this host has a share, for its state.
    std::vector<peers::starting_upstream> shared_upstreams(base::time_point now);
    /// Measures the starting upstreams and brings the published state of their shares up to date.
    void report_warm_ups(base::time_point now);
    /// Requests the removal of listed objects that no starting upstream needs.
    void remove_unused_warm_ups(const std::vector<std::string>& listed, base::time_point now);
    /// Logs the upstreams that started again after an unexpected end.
    static void log_relapses(const steer::steerer::outcome& effects);
    void apply_remote_view(base::time_point now);
    /// Passes the sums of the demand for each service to the `steerer`, and logs and measures
    /// shortages.
    void apply_demands(base::time_point now);
    /// Logs that a shortage has begun or ended. `service`: index of `admission::services`.
    void report_shortage(std::size_t service, const std::optional<steer::fleet_demand>& known, base::time_point now);
    void measure_admission(const steer::admitted_service& service, steer::service_admission& state);
    /// Requests a read from another host that has newer state.
    void catch_up(base::time_point now);
    /// Logs and measures that this host knows of a newer configuration and does not get it.
    void report_behind(base::time_point now);
    /// Returns the status of this host for the others.
    peers::host_status status(base::time_point now);
    /// Replaces the state that this host serves to other hosts.
    void publish_snapshot();
    /// Requests a current list of the upstreams where the `steerer` waits for one, and ends its wait.
    void update_list_wait(base::time_point now);
    /// Reports this host as ready once a configuration and a list of upstreams are applied.
    void mark_ready();
    /// Logs and measures the evacuations in force when they have changed because of `source`.
    void report_evacuations(const char* source);
    /// Logs and measures the silence of links to other data centres when it begins or ends.
    void report_links();
    /// Measures trial flows, rejected flows and the SYNs that the retry budget held back.
    void report_shortage();
    /// Logs and measures whether weak evidence against upstreams is ignored.
    void report_avoidance(base::time_point now);
    /// Logs and counts the upstreams that get no flows because of their tokens.
    void report_collisions();
    /// Logs the upstreams that lost half of their capacity.
    void report_slowed(base::time_point now);
    /// Ticks the `steerer`, publishes a due snapshot and, once per summary interval, reports
    /// suppressed log lines, sets gauges and requests the removal of lost hosts.
    void tick(base::time_point now);
    void send(std::span<net::packet* const> datagrams);

    net::udp_socket socket_;
    shared_state& state_;
    edge_metrics& metrics_;
    steer::steerer steerer_;
    steering_log log_;
    std::array<update_ring, adapter::object_kind_count> updates_{update_ring{ring_capacity}, update_ring{ring_capacity},
                                                                 update_ring{ring_capacity}, update_ring{ring_capacity},
                                                                 update_ring{ring_capacity}};
    /// Attempts to apply the oldest update of the ring that is being emptied.
    int apply_attempts_ = 0;
    peer_link peers_;
    bool collects_ = false;
    base::time_point next_watch_update_{};
    /// Result of the last `check_watch`.
    bool is_unwatched_ = false;
    /// The `steerer` waits for a current list of the upstreams.
    bool awaits_list_ = false;
    std::string data_centre_;
    /// Data centres are evacuated on this deployment.
    bool has_evacuations_ = false;
    /// `evacuation_table::change_count` when the evacuations in force were last logged.
    std::uint64_t reported_evacuation_changes_ = 0;
    /// Configuration in force, in the form that is served to other hosts.
    std::shared_ptr<const peers::edge_state> configuration_;
    peers::upstreams_position upstreams_position_;
    /// The configuration or the upstreams changed since the last snapshot.
    bool snapshot_due_ = false;
    /// `steerer::silence_count` at the last urgent status.
    std::uint64_t reported_silence_count_ = 0;
    base::time_point next_urgent_{};
    base::time_point last_remote_view_{};
    base::time_point next_demands_{};
    base::time_point next_configuration_read_{};
    /// When another host was first seen to have a newer configuration; empty when none has.
    std::optional<base::time_point> configuration_behind_since_;
    /// When another host was first seen to have newer upstreams; empty when none has.
    std::optional<base::time_point> behind_since_;
    net::wakeup_event wakeup_;
    probe_worker probes_;
    warm_up_worker warm_ups_;
    warm_up_cleanup warm_up_cleanup_;
    base::time_point next_warm_up_list_{};
    /// New flows that were refused because of the rate of starting upstreams, in total.
    std::uint64_t limited_flows_ = 0;
    std::uint64_t published_limited_flows_ = 0;
    /// SYNs that were passed on to other hosts, and flows that were opened for other hosts, in total.
    std::uint64_t relayed_syns_ = 0;
    std::uint64_t opened_for_others_ = 0;
    std::vector<net::packet> buffers_;
    base::time_point defer_until_{};
    base::time_point next_tick_{};
    /// When the loop last ran, by the clock that includes suspension.
    std::optional<base::time_point> ran_at_;
    base::time_point next_summary_{};
    std::thread thread_;
};

} // namespace galenabay::edge
