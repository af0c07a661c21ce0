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
/// A host decides alone on a flow that it knows, and on an unknown one when all
/// versions of the service give the same upstream. Any other packet goes to the
/// first host of the flow's ranking. That host knows the flow, or knows that no
/// host does, or passes the packet down the ranking; the last host of the
/// ranking takes the flow for a new one.
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
    /// One packet on its way through the decision.
    struct packet
    {
        std::uint64_t key = 0;
        const address_owners* owners = nullptr;
        /// Service whose ranking applies.
        std::uint32_t service = 0;
        std::uint8_t hops = 0;
    };

    /// Where an unknown flow would go if it were new, and whether that is right
    /// for an older flow as well.
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
    /// Also recognises an address by a known flow of a former owner.
    const address_owners* find_owners(const base::endpoint& caller, const base::endpoint& address);
    /// A packet to an address that no service here has or had.
    decision decide_unknown_address(std::uint64_t key, std::uint8_t hops);
    flow_entry* find_entry(const packet& pkt, const base::endpoint& address);
    decision decide_known(const packet& pkt, flow_entry& entry);
    decision decide_unknown(const packet& pkt);
    decision decide_here(const packet& pkt);
    std::optional<decision> relay_to_next(const packet& pkt);
    /// A new flow can't be placed yet.
    bool must_wait(const packet& pkt) const;
    decision place(const packet& pkt, const placement& where);
    placement plan_placement(const packet& pkt) const;
    placement plan_from_settled(const packet& pkt, std::uint32_t settled, bool authoritative) const;
    void replace_upstream(const packet& pkt, flow_entry& entry);
    void notify_record_holders(std::uint32_t service, std::uint64_t key);
    void refresh(const packet& pkt, flow_entry& entry);
    bool is_trusted(const packet& pkt, const flow_entry& entry) const;
    bool may_decide_alone(const packet& pkt, std::uint32_t& upstream) const;
    bool in_transition(const packet& pkt) const;

    // What is known about services and upstreams.
    std::uint32_t choose_open(std::uint32_t service, std::uint64_t key) const;
    bool in_panic(std::uint32_t service) const;
    bool accepts_new_flows(std::uint32_t upstream) const;
    bool keeps_established_flows(std::uint32_t upstream) const;
    bool recently_unhealthy(std::uint32_t upstream) const;
    bool awaits_version(const service_slot& slot) const;
    /// Peers that have told everything include this host among those that keep
    /// records of the flow.
    bool is_record_holder(std::uint32_t service, std::uint64_t key) const;
    /// This host has had no peers for so long that there are none.
    bool is_sole_host() const;
    bool is_authoritative(std::uint32_t service, std::uint64_t key) const;
    bool is_expired(const flow_entry& entry) const;
    bool needs_record(std::uint64_t key, const flow_entry& entry) const;

    // Exchange with peers.
    void update_settled_versions();
    void update_complete_ranking();
    void sample_complete_revision();
    std::uint64_t stable_complete_revision() const;
    void scan_table();
    void on_flow_record(const flow_record& record);
    void on_changed(const notice& value);
    void on_unhealthy(const notice& value);
    bool make_record(std::uint64_t key, flow_record& record);
    void sweep();
    void record_unhealthy(std::uint32_t upstream, base::time_point at);
    void publish_unhealthy();
    std::optional<std::size_t> host_index(std::uint64_t id) const;

    steering_settings settings_;
    service_index index_;
    flow_table table_;
    host_ranking ranking_;
    peer_exchange exchange_;
    /// The hosts when all peers had last told everything.
    std::optional<host_ranking> complete_ranking_;
    /// Earlier sets of hosts by hash, newest last.
    std::vector<std::pair<std::uint16_t, host_ranking>> past_rankings_;
    /// Values of `exchange_.complete_revision()` in the last moments.
    std::deque<std::pair<base::time_point, std::uint64_t>> complete_samples_;
    std::uint64_t revision_ = 0;
    base::time_point now_{};
    /// Since when this host has had no peers; empty before the first list.
    std::optional<base::time_point> without_peers_since_;
    std::optional<base::time_point> resumed_at_;
    /// Since when a peer whose answer is needed has not answered.
    std::optional<base::time_point> answers_missing_since_;
    /// A record named an upstream that no revision here knows.
    bool has_unresolved_record_ = false;
    std::size_t next_bucket_ = 0;
    steering_counters counters_;
};

} // namespace galenabay::flow
