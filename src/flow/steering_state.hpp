#pragma once

#include "flow_table.hpp"
#include "host_ranking.hpp"
#include "peer_exchange.hpp"
#include "service_index.hpp"

#include <galenabay/flow/steering.hpp>

#include <array>
#include <deque>
#include <optional>
#include <utility>

namespace galenabay::flow
{

/// Implementation of `steering`.
///
/// A host decides alone on a flow in its table, and on an unknown one when all
/// versions of the service give the same upstream. Any other packet is relayed
/// to the first host of the flow's ranking. That host has the flow in its table,
/// or has the records of all hosts and so treats the flow as new, or relays the
/// packet down the ranking; the last host of the ranking treats the flow as new.
class steering::state
{
public:
    explicit state(steering_settings settings);

    void on_revision(const config::accepted_revision& revision, base::time_point now);
    void on_hosts(std::span<const membership::live_host> hosts, base::time_point now);
    void on_alive(config::upstream_id upstream, base::time_point now);
    void on_health(config::upstream_id upstream, bool healthy, base::time_point now);
    decision on_packet(const base::endpoint& caller, const base::endpoint& address, std::uint8_t hops,
                       base::time_point now);
    void on_upstream_packet(const base::endpoint& caller, const base::endpoint& address, const base::endpoint& upstream,
                            base::time_point now);
    void on_records(std::span<const flow_record> records, base::time_point now);
    std::vector<flow_record> take_records(std::size_t host, std::size_t budget_bytes, base::time_point now);
    void on_tick(base::time_point now, bool paused);
    bool may_reach(const base::endpoint& address, const base::endpoint& upstream) const;
    const steering_counters& counters() noexcept;

private:
    /// One packet while it is being decided on.
    struct packet
    {
        std::uint64_t key = 0;
        const address_owners* owners = nullptr;
        /// Service whose ranking applies.
        std::uint32_t service = 0;
        std::uint8_t hops = 0;
    };

    /// Upstream that an unknown flow would get if it were new, and whether that
    /// is also right for an older flow.
    struct placement
    {
        std::uint32_t upstream = no_upstream_index;
        bool certain = false;
    };

    using candidate_list = std::array<std::uint32_t, max_versions>;

    // Outcomes.
    decision drop(drop_reason reason);
    decision forward(const packet& pkt, std::uint32_t upstream);
    decision relay(std::size_t host);

    // Decisions on packets.
    /// Finds the owners of an address, if need be by a known flow of a former
    /// owner. Returns nullptr when there are none.
    const address_owners* find_owners(const base::endpoint& caller, const base::endpoint& address);
    /// Decides on a packet to an address that no service on this host owns or
    /// owned.
    decision decide_unknown_address(std::uint64_t key, std::uint8_t hops);
    flow_entry* find_entry(const packet& pkt, const base::endpoint& address);
    decision decide_known(const packet& pkt, flow_entry& entry);
    decision decide_unknown(const packet& pkt);
    decision decide_here(const packet& pkt);
    /// Relays the packet down the ranking. Empty when all hosts of the ranking
    /// have received it.
    std::optional<decision> relay_to_next(const packet& pkt);
    /// Returns true when this host started or resumed a short time ago and a peer
    /// has not answered its request yet.
    bool lacks_answers() const;
    /// Returns true when a new flow can't be placed yet.
    bool must_wait(const packet& pkt) const;
    /// Returns true when `may_recover` holds for an upstream that some version gives
    /// to the flow.
    bool upstream_may_recover(const packet& pkt) const;
    /// Adds the flow to the table and forwards the packet.
    decision place(const packet& pkt, const placement& where);
    placement plan_placement(const packet& pkt) const;
    /// Plans from `settled`, the upstream that the settled version gives.
    placement plan_from_settled(const packet& pkt, std::uint32_t settled, bool authoritative) const;
    /// Relays the packet of a flow to hosts that may have moved it since, or drops it
    /// when they can't be asked yet. Empty when this host has to decide.
    std::optional<decision> ask_other_hosts(const packet& pkt, flow_entry& entry, bool keeps);
    /// Sends the record of a flow that was found here by relaying, because the hosts
    /// before this one in the ranking lack it. When this host comes first, it does so
    /// for a slow flow, once for each version, because the second host may lack it.
    void report_found(const packet& pkt, flow_entry& entry, base::duration idle_time);
    void replace_upstream(const packet& pkt, flow_entry& entry);
    /// Queues the flow for the peers that hold its records.
    void notify_record_holders(std::uint32_t service, std::uint64_t key,
                               record_urgency urgency = record_urgency::changed);
    /// Confirms the flow once per idle timeout and, when other hosts need its
    /// record, sends that again.
    void refresh(const packet& pkt, flow_entry& entry);
    /// Returns true when the entry was confirmed before the last pause of the
    /// process, so that other hosts may have moved the flow meanwhile.
    bool predates_pause(const packet& pkt, const flow_entry& entry) const;
    /// Returns true when the process has just resumed and has not received a message
    /// from its peers yet.
    bool is_resuming() const;
    /// Returns false when another host may have moved the flow since the entry
    /// was confirmed.
    bool is_trusted(const packet& pkt, const flow_entry& entry) const;
    /// Returns true, and sets `upstream`, when every host would choose the same
    /// upstream for the flow, be it new or old.
    bool may_decide_alone(const packet& pkt, std::uint32_t& upstream) const;
    bool in_transition(const packet& pkt) const;

    // State of services and upstreams.
    std::uint32_t choose_open(std::uint32_t service, std::uint64_t key) const;
    /// Returns true when so few upstreams are healthy that health is ignored.
    bool in_panic(std::uint32_t service) const;
    bool accepts_new_flows(std::uint32_t upstream) const;
    bool keeps_established_flows(std::uint32_t upstream) const;
    bool recently_unhealthy(std::uint32_t upstream) const;
    /// Returns true when an upstream has been unhealthy for so short a time that
    /// established flows stay on it.
    bool may_recover(std::uint32_t upstream) const;
    bool awaits_version(const service_slot& slot) const;
    /// Returns true when this host holds records of the flow and all peers have
    /// sent theirs.
    bool is_record_holder(std::uint32_t service, std::uint64_t key) const;
    /// Returns true when this host has had no peers for so long that there are
    /// none.
    bool is_sole_host() const;
    /// Returns true when this host has a record of the flow if any host has
    /// placed it, so that an unknown flow is new.
    bool is_authoritative(std::uint32_t service, std::uint64_t key) const;
    bool is_expired(const flow_entry& entry) const;
    bool needs_record(std::uint64_t key, const flow_entry& entry) const;
    /// Returns true when the versions of the service give the flow different
    /// upstreams.
    bool is_disputed(std::uint64_t key, const flow_entry& entry) const;

    // Exchange with peers.
    void update_settled_versions();
    void update_complete_ranking();
    void sample_complete_revision();
    /// Returns the lowest complete revision during the last `record_latency`.
    std::uint64_t stable_complete_revision() const;
    /// Queues the records that peers need after a change of the revision or of
    /// the set of hosts.
    void scan_table();
    void on_flow_record(const flow_record& record);
    void on_changed(const notice& value);
    void on_unhealthy(const notice& value);
    bool make_record(std::uint64_t key, flow_record& record);
    /// Evicts expired flows from a part of the table.
    void sweep();
    /// Records that an upstream was unhealthy and announces it to the peers.
    void record_unhealthy(std::uint32_t upstream, base::time_point at);
    void publish_unhealthy();
    std::optional<std::size_t> host_index(std::uint64_t id) const;

    steering_settings settings_;
    service_index index_;
    flow_table table_;
    host_ranking ranking_;
    peer_exchange exchange_;
    /// Ranking of the hosts when all peers had last sent all records.
    std::optional<host_ranking> complete_ranking_;
    /// Earlier sets of hosts by hash, newest last.
    std::vector<std::pair<std::uint16_t, host_ranking>> past_rankings_;
    /// Values of `exchange_.complete_revision()` during the last
    /// `record_latency`.
    std::deque<std::pair<base::time_point, std::uint64_t>> complete_samples_;
    std::uint64_t revision_ = 0;
    base::time_point now_{};
    /// Time since which this host has had no peers; empty before the first list
    /// of hosts.
    std::optional<base::time_point> without_peers_since_;
    /// Time of the first list of hosts.
    std::optional<base::time_point> started_at_;
    /// Time at which the process last resumed after a pause.
    std::optional<base::time_point> resumed_at_;
    /// Time since which a peer whose answer is required has not answered.
    std::optional<base::time_point> answers_missing_since_;
    /// A record referred to an upstream that is unknown to this host.
    bool has_unresolved_record_ = false;
    /// Bucket at which the next sweep starts.
    std::size_t next_bucket_ = 0;
    steering_counters counters_;
};

} // namespace galenabay::flow
