#pragma once

#include <galenabay/base/random.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/steer/configuration.hpp>
#include <galenabay/steer/packet_header.hpp>
#include <galenabay/steer/route_table.hpp>
#include <galenabay/steer/steering_decision.hpp>
#include <galenabay/steer/upstream_probe.hpp>
#include <galenabay/steer/upstream_registry.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace galenabay::steer
{

class flow_table;
class unanswered_syn_queue;
struct flow_state;

/// Bounds of steering. Each has its unit in its type or name.
struct steering_options
{
    /// Of this host; its upstreams are preferred.
    std::string data_centre;
    upstream_registry::limits registry{};
    /// Flows remembered: those of 53 million that one of 3,900 hosts sees, and half.
    std::size_t max_flows = 20'000;
    /// Silence of all flows after which an upstream is avoided: longer than the
    /// caller's first pause before it sends again (200 ms) and a slow request.
    base::duration silence_limit = std::chrono::milliseconds{500};
    /// Time within which an upstream answers an opening packet: many round trips, and
    /// a tenth of a second for which a host with a quota may not run.
    base::duration syn_answer_limit = std::chrono::milliseconds{100};
    /// How long new flows avoid a silent upstream; evidence extends it.
    base::duration avoid_time = std::chrono::milliseconds{2'500};
    /// Other hosts that must find an upstream silent too before all its flows are
    /// reset: one host's link may fail, hardly that of three at once.
    std::size_t confirming_votes = 2;
    /// Gap between two ticks that shows that this process did not run: packets that
    /// waited meanwhile say nothing about upstreams.
    base::duration pause_limit = std::chrono::milliseconds{350};
    /// Time without an answer at any host before flows are reset: an upstream that fails
    /// some requests still answers others within it, and each host has told of answers
    /// by then.
    base::duration reset_silence = std::chrono::milliseconds{1'500};
    /// Attempts to connect that must go unanswered before flows are reset; fewer when
    /// `confirming_votes` hosts find the upstream silent too.
    std::uint32_t unreachable_limit = 2;
    /// Pause between two series of attempts to connect to one upstream, so that an
    /// overloaded one gets few.
    base::duration probe_pause = std::chrono::milliseconds{1'000};
    /// Time after which an attempt without a result counts as lost: many of its timeouts.
    base::duration probe_lifetime = std::chrono::milliseconds{2'000};
    /// How long an accepted connection shows that the upstream runs.
    base::duration reachable_time = std::chrono::milliseconds{2'000};
    /// How long the silence that other hosts report counts: two of their statuses.
    base::duration vote_time = std::chrono::milliseconds{1'000};
    /// How long a closed flow is remembered, for copies of its last packets.
    base::duration closed_flow_retention = std::chrono::seconds{2};
};

/// Steers the packets of callers to upstreams. Pure: time and seed come in,
/// decisions go out.
///
/// A token in each packet names the flow's upstream, so any host steers any packet
/// without state of the flow; an opening packet gets the token of the upstream that
/// is chosen here. Not thread-safe; owned by the packet thread.
class steerer
{
public:
    steerer(steering_options options, std::uint64_t seed);
    steerer(const steerer&) = delete;
    steerer& operator=(const steerer&) = delete;
    ~steerer();

    /// What followed from something that was learned.
    struct outcome
    {
        std::vector<upstream_registry::change> changes;
        /// Flows that can't go on.
        std::vector<lost_flow> resets;
    };

    /// False when a version that is as new or newer is in force.
    bool on_configuration(const configuration& next);
    /// A complete list of the upstreams as of a revision of the store.
    outcome on_upstream_list(const std::vector<upstream_entry>& entries, std::uint64_t revision, base::time_point now);
    outcome on_upstream(const upstream_entry& entry, base::time_point now);
    outcome on_upstream_removed(const std::string& id, std::uint64_t revision, base::time_point now);
    void on_store_failure(base::time_point now) { registry_.store_failed(now); }
    /// What the other hosts see of an upstream.
    struct remote_view
    {
        std::uint32_t flows = 0;
        std::uint32_t open_requests = 0;
        /// Hosts that call the upstream silent.
        std::size_t silence_votes = 0;
        /// Hosts that could not connect to the upstream.
        std::size_t unreachable_votes = 0;
        /// Since the last answer that any of them saw; nothing when none has flows there.
        std::optional<base::duration> answered_ago;
    };
    void on_remote_view(upstream_token token, const remote_view& seen, base::time_point now);

    /// Attempts to connect that were asked for since the last call.
    std::vector<probe_request> take_probe_requests() { return std::exchange(probe_requests_, {}); }
    outcome on_probe(upstream_token token, probe_result result, base::time_point now);

    /// Decides one packet.
    steering_decision on_packet(const packet_header& header, base::time_point now);
    /// To be called every `tick_interval`.
    outcome on_tick(base::time_point now);

    /// True when the configuration and the upstreams are known.
    bool is_ready() const noexcept { return routes_.version() != 0 && has_upstreams_; }
    /// Other hosts that are heard. With any, their evidence is needed for a reset.
    void set_peer_count(std::size_t peers) noexcept { peer_count_ = peers; }
    /// How often an upstream was found silent or refusing by this host's flows.
    std::uint64_t silence_count() const noexcept { return silence_count_; }
    /// True when this host's own flows show that the upstream answers none of them.
    bool is_silent(const upstream_incarnation& upstream, base::time_point now) const;
    /// True when an attempt of this host to connect to the upstream failed lately.
    bool is_unreachable(const upstream_incarnation& upstream, base::time_point now) const;
    /// True when this host's new flows go elsewhere because of what its own flows show.
    bool is_avoided_locally(const upstream_incarnation& upstream, base::time_point now) const;
    const route_table& routes() const noexcept { return routes_; }
    upstream_registry& registry() noexcept { return registry_; }
    std::size_t flow_count() const noexcept;

    static constexpr base::duration tick_interval = std::chrono::milliseconds{100};

private:
    steering_decision on_syn(const packet_header& header, base::time_point now);
    steering_decision on_unrouted(const packet_header& header) const;
    void track_syn(const packet_header& header, upstream_incarnation& chosen, flow_state* known, base::time_point now);
    void observe(flow_state& flow, upstream_incarnation& upstream, const packet_header& header, base::time_point now);
    /// Looks for openings that were not answered in time.
    void check_unanswered_syns(base::time_point now);
    void on_retransmission(upstream_incarnation& upstream, base::time_point now);
    /// Asks for an attempt to connect unless one was made lately.
    void request_probe(upstream_incarnation& upstream, base::time_point now);
    /// True when failed attempts are not due to this host's own link.
    bool is_confirmed_unreachable(const upstream_incarnation& upstream, base::time_point now);
    /// True when no flow through any host showed an answer for `reset_silence`.
    bool is_silent_everywhere(const upstream_incarnation& upstream, base::time_point now) const;
    /// True when other hosts confirm what this host's flows show.
    bool is_confirmed_silent(const upstream_incarnation& upstream, base::time_point now) const;
    bool do_most_upstreams_answer(base::time_point since, base::time_point now);
    bool should_reset(const flow_state& flow, const upstream_incarnation& upstream, base::time_point now);
    /// Removes the upstream's flows and returns the resets that tell their callers.
    void reset_flows(const upstream_incarnation& ended, steering_reason reason, std::vector<lost_flow>& resets);
    outcome process_changes(std::vector<upstream_registry::change> changes);
    void release(flow_state& flow);
    void expire_flows(base::time_point now);

    steering_options options_;
    base::random_source random_;
    route_table routes_;
    upstream_registry registry_;
    bool has_upstreams_ = false;
    std::vector<probe_request> probe_requests_;
    std::unique_ptr<flow_table> flows_;
    std::unique_ptr<unanswered_syn_queue> unanswered_syns_;
    std::size_t peer_count_ = 0;
    std::uint64_t silence_count_ = 0;
    base::time_point last_tick_{};
    base::time_point last_sweep_{};
};

} // namespace galenabay::steer
