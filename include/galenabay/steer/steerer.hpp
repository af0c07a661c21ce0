#pragma once

#include <galenabay/base/random.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/steer/admission.hpp>
#include <galenabay/steer/answer_time_report.hpp>
#include <galenabay/steer/avoidance.hpp>
#include <galenabay/steer/configuration.hpp>
#include <galenabay/steer/data_centre_evidence.hpp>
#include <galenabay/steer/evacuations.hpp>
#include <galenabay/steer/packet_header.hpp>
#include <galenabay/steer/restart_history.hpp>
#include <galenabay/steer/route_table.hpp>
#include <galenabay/steer/steering_decision.hpp>
#include <galenabay/steer/steering_options.hpp>
#include <galenabay/steer/upstream_probe.hpp>
#include <galenabay/steer/upstream_registry.hpp>
#include <galenabay/steer/warm_up_claims.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace galenabay::steer
{

class answer_time_sampler;
class flow_table;
class sent_packet_queue;
class syn_relays;
struct flow_state;
struct shortage_state;

/// Decides to which upstream each caller's packet goes. Does no I/O: the time and the
/// random seed are arguments.
///
/// A token in each packet identifies the flow's upstream, so any host steers any packet
/// without state of the flow; a SYN gets the token of the upstream that is selected
/// here. Not thread-safe; owned by the packet thread.
class steerer
{
public:
    steerer(steering_options options, std::uint64_t seed);
    steerer(const steerer&) = delete;
    steerer& operator=(const steerer&) = delete;
    ~steerer();

    /// Effects of an update, a probe result or a tick.
    struct outcome
    {
        std::vector<upstream_registry::change> changes;
        /// Flows that cannot continue and whose callers must get a reset.
        std::vector<lost_flow> resets;
        /// Incarnations that follow one that ended unexpectedly, and the number of such restarts.
        std::vector<std::pair<const upstream_incarnation*, std::uint32_t>> relapses{};
    };

    /// Adopts a configuration. Returns false, and changes nothing, when `next` is not newer
    /// than the version in force. An exception for memory that is exhausted changes nothing, either.
    bool on_configuration(const configuration& next);
    /// Adopts a set of evacuations: new flows avoid the upstreams of these data centres at once,
    /// open flows stay. Returns false, and changes nothing, when the set is not newer than the
    /// one adopted last.
    bool on_evacuations(const evacuation_set& next, base::time_point now);
    /// Applies a complete list of the upstreams as of a store revision.
    outcome on_upstream_list(const std::vector<upstream_entry>& entries, const store_revision& revision,
                             base::time_point now);
    /// Records that the known list of upstreams may be out of date. Where a service states a rate of new flows to
    /// starting upstreams, this host is then not ready until `on_current_list`, since an upstream may have restarted;
    /// for at most `steering_options::current_list_wait`, since the store may be down. Only the first call has an
    /// effect.
    void await_current_list(base::time_point now);
    /// Records that the list of upstreams is current, or follows a current one.
    void on_current_list() noexcept { awaits_list_ = false; }
    bool awaits_current_list() const noexcept { return awaits_list_ && routes_.has_warm_up_rates(); }
    /// Applies one registration, unless a newer change of the upstream was applied.
    outcome on_upstream(const upstream_entry& entry, base::time_point now);
    /// Applies the removal of a registration at a store revision, with the same exception.
    outcome on_upstream_removed(const std::string& id, const store_revision& revision, base::time_point now);
    /// Records that the store could not be read: for `missing_grace` from `now` no missing
    /// upstream is ended.
    void on_store_failure(base::time_point now) { registry_.store_failed(now); }
    /// Records that no host is known to watch the store for this one, so that restarts may become known late. Missing
    /// upstreams still end. Call it every `tick_interval` while that is so.
    void on_store_unwatched(base::time_point now) { registry_.store_unwatched(now); }
    /// Totals of the other hosts' reports about one upstream.
    struct remote_view
    {
        std::uint32_t flows = 0;
        std::uint32_t open_requests = 0;
        /// Hosts that report the upstream as silent.
        std::size_t silence_votes = 0;
        /// Hosts that could not connect to the upstream.
        std::size_t unreachable_votes = 0;
        /// Time since the last answer that any of them saw; empty when none has flows to
        /// the upstream.
        std::optional<base::duration> answered_ago;
        /// Answer times in the flows of the hosts; may include this one's.
        answer_time_sum answer_times{};
    };
    /// Updates an upstream's remote load and votes. New flows avoid an upstream that has
    /// votes and gave this host no answer for `silence_limit`. Ignores an unknown token.
    void on_remote_view(upstream_token token, const remote_view& seen, base::time_point now);

    /// Takes the demand for each service through all hosts into account; empty without sums.
    /// Returns the services, as indices of `admission::services`, for which a shortage has begun or
    /// ended. Call it several times a second.
    std::vector<std::size_t> on_demands(const std::optional<fleet_demand>& known, base::time_point now);
    /// Returns this host's own demand for the services with admission that have traffic, ordered by
    /// service, to be reported to the other hosts.
    std::vector<service_demand> report_demands(base::time_point now);
    /// Returns the room of a service, as an index of `admission::services`, by the given sums.
    service_room room_of(std::size_t service, const fleet_demand& known, base::time_point now) const;
    admission& admissions() noexcept { return admission_; }

    /// Returns the attempts to connect that were requested since the last call.
    std::vector<probe_request> take_probe_requests() { return std::exchange(probe_requests_, {}); }
    /// Applies the result of an attempt to connect; ignores it when none is pending.
    outcome on_probe(upstream_token token, probe_result result, base::time_point now);
    /// Returns true when an attempt to connect timed out within `confirmation_time`, so that the
    /// votes of other hosts should be applied as soon as they arrive.
    bool awaits_votes(base::time_point now) const { return now - probe_failed_at_ < options_.confirmation_time; }
    /// Resets the flows of upstreams whose attempts to connect timed out within
    /// `confirmation_time` and which `confirming_votes` other hosts report as unreachable by now;
    /// call it after `on_remote_view`.
    outcome check_votes(base::time_point now);

    /// Returns the calls to the store that are due for starting upstreams whose services state a
    /// rate; none where no service does. Call it every `tick_interval`.
    std::vector<warm_up_request> take_warm_up_requests(const warm_up_claims::rank_function& rank_of,
                                                       base::time_point now);
    /// As `warm_up_claims::on_store_epoch`.
    void on_store_epoch(std::uint64_t epoch) noexcept { warm_ups_.on_store_epoch(epoch); }
    /// Applies the answer to a claim. Returns true when this host owns the incarnation by it.
    bool on_claim(const claim_answer& answer, base::time_point now) { return warm_ups_.on_answer(answer, now); }
    /// Applies the list of those who share the rate of a starting upstream. Returns true when this
    /// process has a share by it.
    bool on_shares(const warm_up_shares& shares, base::time_point now) { return warm_ups_.on_shares(shares, now); }
    /// Returns the lists that are to be sent to their holders now.
    std::vector<warm_up_shares> take_announcements(base::time_point now) { return warm_ups_.take_announcements(now); }
    /// Returns the new flows a second that this host may send to an upstream that is starting; 0
    /// when it has no share, or when the upstream is not limited.
    double warm_up_share(const upstream_incarnation& upstream, base::time_point now) const;
    /// Returns the upstreams that are starting and have not ended.
    std::vector<const upstream_incarnation*> starting_upstreams(base::time_point now);

    /// Decides one packet of a caller.
    steering_decision on_packet(const packet_header& header, base::time_point now);
    /// A SYN that another host passed on. Plain value.
    struct relayed_syn
    {
        packet_header header;
        /// `host_key` of the host that it is meant for; another one drops it.
        std::uint32_t receiver = 0;
        /// Service that the first host selected, by the hash of its name.
        std::uint64_t service = 0;
        /// Times that this host may pass it on.
        std::uint8_t passes_left = 0;
    };
    /// Decides a SYN that another host passed on as if it had come from the caller. Admission and
    /// the choice between the services of a route were made by the first host.
    steering_decision on_relayed(const relayed_syn& relayed, base::time_point now);
    /// Records that the process did not run for a while: packets and probe results that were
    /// queued meanwhile are no evidence of silence.
    void on_pause(base::time_point now);
    /// Expires flows, upstreams and unanswered SYNs; call it every `tick_interval`.
    outcome on_tick(base::time_point now);

    /// Returns true when a configuration, a list of upstreams that need not be awaited and, where
    /// data centres are evacuated, a set of evacuations have arrived.
    bool is_ready() const noexcept
    {
        return routes_.version() != 0 && has_upstreams_ && !awaits_current_list() &&
               (!options_.evacuation_bound || evacuations_.is_known());
    }
    /// Sets the number of other live hosts. When there are any, a flow is reset only with
    /// their evidence.
    void set_peer_count(std::size_t peers) noexcept { peer_count_ = peers; }
    /// Number of times that this host got new evidence of a failed upstream, by its flows or
    /// by attempts to connect. The packet thread sends an urgent status to the other hosts
    /// when it changes.
    std::uint64_t silence_count() const noexcept { return silence_count_; }
    /// Returns true when this host's own evidence shows that the upstream does not answer.
    bool is_silent(const upstream_incarnation& upstream, base::time_point now) const;
    /// Returns true when an attempt of this host to connect to the upstream failed within
    /// `avoid_time` and no flow has shown an answer since.
    bool is_unreachable(const upstream_incarnation& upstream, base::time_point now) const;
    /// Returns true when this host's own evidence, not only that of other hosts, keeps new
    /// flows away from the upstream.
    bool is_avoided_locally(const upstream_incarnation& upstream, base::time_point now) const;
    /// Returns the services for which weak evidence began or ceased to be ignored since the last call.
    std::vector<avoidance_change> take_avoidance_changes() { return std::exchange(avoidance_changes_, {}); }
    /// Number of upstreams that get new flows although weak evidence speaks against them.
    std::size_t ignored_doubt_count() const noexcept { return ignored_doubt_count_; }
    /// Number of upstreams that may get new flows and are avoided: none gets one while others of its service can.
    std::size_t avoided_count() const noexcept { return avoided_count_; }
    /// Number of upstreams that get new flows.
    std::size_t usable_count() const noexcept { return usable_count_; }
    const route_table& routes() const noexcept { return routes_; }
    const evacuation_table& evacuations() const noexcept { return evacuations_; }
    /// Number of new flows for which upstreams of this host's data centre were left out because
    /// it is evacuated.
    std::uint64_t moved_flow_count() const noexcept { return moved_flow_count_; }
    /// Evidence about the links to other data centres.
    data_centre_evidence& links() noexcept { return links_; }
    /// Number of flows that upstreams rejected by a short answer.
    std::uint64_t rejected_flow_count() const noexcept;
    /// Number of retransmitted SYNs that stayed on their upstream because the service was short of
    /// room and the budget for further upstreams was spent.
    std::uint64_t limited_retry_count() const noexcept;
    /// Returns the answer times of this host's recent requests to the upstream; empty unless
    /// capacity is learned.
    answer_time_sum answer_times_of(const upstream_incarnation& upstream, base::time_point now) const
    {
        return options_.learned_capacity ? upstream.answer_times.recent(now) : answer_time_sum{};
    }
    /// Returns the upstreams that lost half of their capacity since the last call, by their answer
    /// times. One may have been removed since.
    std::vector<upstream_token> take_slowed() { return std::exchange(slowed_, {}); }
    /// Number of upstreams that have lost half of their capacity.
    std::size_t slow_count() const noexcept { return slow_count_; }
    /// Returns the estimates of all upstreams; none unless capacity is learned.
    answer_time_report report_answer_times(base::time_point now) const
    {
        return options_.learned_capacity ? steer::report_answer_times(registry_, now) : answer_time_report{};
    }
    upstream_registry& registry() noexcept { return registry_; }
    std::size_t flow_count() const noexcept;

    /// Gap between two ticks that shows that this process did not run.
    base::duration pause_limit() const noexcept { return options_.pause_limit; }

    static constexpr base::duration tick_interval = std::chrono::milliseconds{100};

private:
    /// `relayed`: what another host said of the SYN; null when it came from the caller.
    steering_decision on_syn(const packet_header& header, const relayed_syn* relayed, base::time_point now);
    /// Number of times that a SYN may be passed on.
    static std::uint8_t passes_of(const relayed_syn* relayed);
    /// Returns true when a SYN of a caller may be passed on to other hosts.
    bool take_relay_budget(const packet_header& header, const std::string& service, base::time_point now);
    /// Returns to whom a SYN is passed on for which this host has no token; nullopt when it is refused.
    std::optional<relay_target> select_relay(const packet_header& header, const std::string& service,
                                             std::uint8_t passes, base::time_point now);
    /// Returns true unless the flow is refused for lack of room. Decides on the first copy of a SYN only: a
    /// later copy, or one of a known flow, may have been forwarded before.
    bool has_room(const packet_header& header, const route_table::route_choice& route, const flow_state* known,
                  base::time_point now);
    /// Load of this host's flows on a service.
    struct service_totals
    {
        std::uint32_t open_requests = 0;
        /// Flows that its upstreams rejected, in total; less when an upstream ends.
        std::uint64_t rejected_flows = 0;
    };
    /// Adds up the loads of a service's upstreams.
    service_totals add_up(const std::string& service) const;
    std::vector<service_totals> add_up(const std::vector<admitted_service>& services) const;
    /// Brings `totals_` up to date and counts the flows that were rejected since the last call.
    void update_totals(base::time_point now);
    /// Takes the upstreams of data centres that return from an evacuation for starting ones.
    void mark_returned(base::time_point now);
    /// Returns true when new flows to the upstream are limited to the rate that its service states.
    bool is_limited(const upstream_incarnation& upstream, base::time_point now) const;
    /// Takes an upstream that refused a connection for a starting one where its service states a
    /// rate: its process has ended, and the next one may listen at the same address before its
    /// registration arrives here.
    void expect_restart(upstream_incarnation& upstream, base::time_point now);
    /// Returns true when a SYN may go to the upstream, and counts it if it is limited.
    bool take_warm_up_token(const upstream_incarnation& upstream, base::time_point now);
    /// Decides a SYN for which no upstream can be selected.
    /// `may_be_open`: an earlier copy of the SYN may have opened the flow.
    static steering_decision refuse(const packet_header& header, steering_reason reason, bool may_be_open);
    /// The same for a SYN that other hosts may have room for: passes it on if `may_relay`, or refuses it.
    steering_decision relay_or_refuse(const packet_header& header, const std::string& service,
                                      const relayed_syn* relayed, bool may_relay, base::time_point now);
    /// Decides a SYN to an address and port that no route names.
    steering_decision on_unrouted(const packet_header& header) const;
    /// Counts a new flow as load of `chosen` and awaits the answer to its SYN. `known`: the
    /// flow's earlier state, or null. The packets of a relayed flow go through the host that the
    /// caller's SYN came to, so that it is neither load here nor evidence.
    void track_syn(const packet_header& header, upstream_incarnation& chosen, flow_state* known, bool is_relayed,
                   base::time_point now);
    /// Updates a flow and its upstream's evidence by a packet of the flow.
    void observe(flow_state& flow, upstream_incarnation& upstream, const packet_header& header, base::time_point now);
    /// Records an answer from an upstream, which may end the silence of its data centre.
    void record_answer(upstream_incarnation& upstream, base::time_point now);
    /// Decides whether links to other data centres are silent; a new silence is reported to the
    /// other hosts.
    void check_links(base::time_point now);
    /// Counts a flow that ends by `header` if its upstream rejected it.
    void check_rejected(const flow_state& flow, upstream_incarnation& upstream, const packet_header& header,
                        base::time_point now);
    /// Counts a new flow, or decides about a SYN that the upstream `tried` did not answer. Returns
    /// true when that is to go to `tried` again, because it would exceed the retry budget.
    bool stays_on(const upstream_incarnation* tried, const std::string& service, bool short_of_room);
    /// Stops counting requests that their callers have neither repeated nor got an answer to, and takes those of one
    /// packet for rejected.
    void check_abandoned_requests(base::time_point now);
    /// Returns true when the request counts as open and is to be checked again. Stops counting it when it is abandoned.
    bool may_be_answered(const flow_key& key, upstream_token token, base::time_point sent_at, base::time_point now);
    /// Returns the time for which a request of several packets of the service may wait for its answer; empty where
    /// flows carry many requests or no answer was seen.
    std::optional<base::duration> answer_wait(const std::string& service) const;
    /// Stops counting the flow's request as open.
    static void stop_waiting(flow_state& flow, upstream_incarnation& upstream);
    /// Returns true when another host has got an answer from the upstream since hosts vote against it.
    bool does_answer_others(const upstream_incarnation& upstream, base::time_point now) const;
    /// Records the SYNs that were not answered within `syn_answer_limit`.
    void check_unanswered_syns(base::time_point now);
    /// Records a packet that a caller sent again, and for the first time at `sent_at`.
    void on_retransmission(upstream_incarnation& upstream, base::time_point sent_at, base::time_point now);
    /// Requests an attempt to connect unless one is pending, one was accepted within `probe_pause`
    /// or timeouts wait for the votes of other hosts.
    void request_probe(upstream_incarnation& upstream, base::time_point now);
    /// Returns true when enough attempts timed out and they are not due to this host's own link.
    bool is_confirmed_unreachable(const upstream_incarnation& upstream, base::time_point now);
    /// Resets the flows of an upstream whose attempts to connect failed, unless it has answered
    /// through any host since they began. Nothing else resets flows for silence: an upstream that
    /// accepts connections runs, and its answers may be late.
    void reset_unless_answered(upstream_incarnation& upstream, std::vector<lost_flow>& resets, base::time_point now);
    /// Returns true when attempts to connect timed out within `confirmation_time`, and no host saw
    /// an answer since they began.
    bool has_unconfirmed_failures(const upstream_incarnation& upstream, base::time_point now) const;
    /// Returns true when at least as many upstreams answered after `since` as are avoided.
    bool do_most_upstreams_answer(base::time_point since, base::time_point now);
    /// Removes the flows of an upstream that does not answer, and appends to `resets` the open ones that
    /// were seen established on it.
    void reset_flows(const upstream_incarnation& silent, std::vector<lost_flow>& resets, base::time_point now);
    /// Does the same for an incarnation that has ended. Flows that may be open on its successor, since
    /// this host learnt of the restart late, continue there: the successor resets those that it does
    /// not have.
    void end_flows(const upstream_incarnation& ended, std::vector<lost_flow>& resets, base::time_point now);
    /// Returns true when this host knows no other hosts and has watched the store itself for some time.
    bool is_alone(base::time_point now) const;
    /// Returns the latest time at which a flow was certainly opened on the ended incarnation, not on
    /// its successor.
    base::time_point find_last_opened(const upstream_incarnation& ended, base::time_point now);
    /// Returns the upstream that takes a packet by the token of an ended incarnation; null when the
    /// flow must be reset. Another host may have opened the flow on the successor by the earlier
    /// token, before it learnt of the restart. `flow`: what this host knows of it, or null.
    upstream_incarnation* find_continuation(const upstream_incarnation& ended, const flow_state* flow,
                                            base::time_point now);
    /// Collects the changes, and the resets for flows of upstreams that ended by them.
    outcome process_changes(std::vector<upstream_registry::change> changes, base::time_point now);
    /// Records a change in the history of restarts. Adds it to the relapses of `effects` when it is one.
    void record_restart(const upstream_registry::change& change, outcome& effects, base::time_point now);
    /// Brings the load that selection assumes for each upstream up to date.
    void update_assumed_loads(base::time_point now);
    /// Stops counting a flow as load whose SYN the upstream has not answered in time.
    static void stop_counting(flow_state& flow, upstream_incarnation& upstream);
    /// Stops counting the flow as load of its upstream.
    void release(flow_state& flow);
    /// Returns true when more than unanswered SYNs and votes speaks against the upstream.
    bool has_strong_evidence(const upstream_incarnation& upstream, base::time_point now) const;
    avoidance_counts count_avoided(const std::vector<upstream_incarnation*>& upstreams, base::time_point now) const;
    /// Decides for each service whether weak evidence excludes upstreams.
    void update_avoidance(base::time_point now);
    /// Brings the upstreams' relative answer times up to date, when that is due.
    void update_answer_times(base::time_point now);
    /// Removes idle flows, and closed ones after `closed_flow_retention`.
    void expire_flows(base::time_point now);

    steering_options options_;
    base::random_source random_;
    route_table routes_;
    upstream_registry registry_;
    restart_history restarts_;
    warm_up_claims warm_ups_;
    evacuation_table evacuations_;
    admission admission_;
    /// Totals of the services with admission as of the last tick, by index of the service. Reports and room use
    /// them, so that each tick walks the upstreams once.
    std::vector<service_totals> totals_;
    std::uint64_t moved_flow_count_ = 0;
    bool has_upstreams_ = false;
    /// When the first list of upstreams was known to be out of date; empty before.
    std::optional<base::time_point> outdated_at_;
    bool awaits_list_ = false;
    std::vector<probe_request> probe_requests_;
    std::unique_ptr<flow_table> flows_;
    std::unique_ptr<sent_packet_queue> unanswered_syns_;
    /// First packets of requests.
    std::unique_ptr<sent_packet_queue> unanswered_requests_;
    std::unique_ptr<shortage_state> shortage_;
    std::unique_ptr<syn_relays> relays_;
    data_centre_evidence links_;
    std::unique_ptr<answer_time_sampler> answer_times_;
    /// Upstreams for `take_slowed`.
    std::vector<upstream_token> slowed_;
    std::size_t slow_count_ = 0;
    base::time_point last_answer_time_update_{};
    std::size_t peer_count_ = 0;
    /// When an attempt to connect last timed out.
    base::time_point probe_failed_at_{};
    std::uint64_t silence_count_ = 0;
    /// Services for which weak evidence is ignored, and since when.
    std::map<std::string, base::time_point> ignored_since_;
    std::vector<avoidance_change> avoidance_changes_;
    std::size_t ignored_doubt_count_ = 0;
    std::size_t avoided_count_ = 0;
    std::size_t usable_count_ = 0;
    base::time_point last_tick_{};
    base::time_point last_sweep_{};
};

} // namespace galenabay::steer
