#pragma once

#include <galenabay/base/random.hpp>
#include <galenabay/dispatch/dispatcher.hpp>

#include "block_affinity.hpp"
#include "claim_log.hpp"
#include "claim_replicator.hpp"
#include "exchange_table.hpp"
#include "finished_log.hpp"
#include "host_directory.hpp"
#include "open_request.hpp"
#include "service_state.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace galenabay::dispatch
{

/// State and logic of a dispatcher, divided into source files by responsibility.
///
/// Every entry point calls `detect_pause` first, so that nothing is decided on
/// state from before a pause of the process.
class dispatcher::state
{
public:
    explicit state(dispatcher_settings settings);

    // dispatcher_membership.cpp
    void on_revision(const config::accepted_revision& revision, base::time_point now);
    actions on_hosts(std::span<const membership::live_host> hosts, base::time_point now);
    void on_listed_hosts(std::span<const membership::listed_host> hosts, base::time_point now);
    actions on_leave(base::time_point now);

    // dispatcher_requests.cpp
    actions on_request(const request& arrived, bool relayed, base::time_point now);

    // dispatcher_runs.cpp
    actions on_answer(const answer& arrived, base::time_point now);
    bool expects(const answer& arrived) const;
    void on_health(config::upstream_id upstream, bool healthy);

    // dispatcher_claims.cpp
    actions on_intent(const std::string& from, request_key key, config::upstream_id upstream, std::uint64_t sequence,
                      base::time_point now);
    actions on_intent_reply(const std::string& from, request_key key, std::uint64_t sequence, bool accepted,
                            base::time_point now);

    // dispatcher_tick.cpp
    actions on_tick(base::time_point now);

    std::size_t open_requests() const noexcept { return open_.size() + (leaving_ ? replicator_.size() : 0); }
    const dispatcher_counters& counters() const noexcept { return counters_; }

private:
    // dispatcher_membership.cpp
    void refresh_service(service_state& service, base::time_point now);
    void refresh_services(base::time_point now);
    void replace_map(service_state& service, shard_map next, base::time_point now);
    void refresh_hosts(service_state& service, base::time_point now);
    void refresh_deciders(service_state& service, base::time_point now);
    void hand_off(open_request& open, base::time_point now);

    // dispatcher_requests.cpp
    void on_duplicate_request(open_request& open);
    void resend_reply(const request& arrived, base::time_point now);
    void on_claimed_elsewhere(remote_claim& existing_claim, const request& arrived, base::time_point now);
    void route(service_state& service, const request& arrived, bool relayed, base::time_point now);
    std::optional<std::string> decider_of(const service_state& service, const request& arrived,
                                          base::time_point now) const;
    void admit(service_state& service, const request& arrived, base::time_point now);
    void enqueue(service_state& service, open_request& open, base::time_point now);
    void enqueue_pinned(service_state& service, open_request& open, base::time_point now);
    bool needs_pinning(const request& arrived, base::time_point now) const;
    bool may_serve_blocks(const service_state& service, const request& arrived, base::time_point now) const;
    void reset_block_affinity(base::time_point now);
    void leave_queue(service_state& service, open_request& open);
    void relay(const request& arrived, const std::string& host);

    // dispatcher_runs.cpp
    void start_waiting_requests(service_state& service, base::time_point now);
    void start_pinned_requests(service_state& service, base::time_point now);
    bool allows_long(const service_state& service, base::time_point now) const;
    void start(service_state& service, open_request& open, base::time_point now);
    const config::upstream* choose_upstream(service_state& service, const open_request& open, base::time_point now);
    void send(service_state& service, open_request& open, const config::upstream& target, base::time_point now);
    void on_refused_by_upstream(service_state& service, open_request& open, base::time_point now);
    void forward_answer(service_state& service, open_request& open, const answer& arrived, config::upstream_id upstream,
                        base::time_point now);
    void end_run(service_state& service, const open_request& open, upstream_run& run, run_outcome outcome,
                 base::time_point now);
    void abandon_runs(service_state& service, open_request& open, base::time_point now);
    void try_restart_elsewhere(service_state& service, open_request& open, base::time_point now);
    void try_hedge(service_state& service, open_request& open, base::time_point now);
    base::duration hedge_delay(const service_state& service, const request& arrived);
    base::duration retry_delay(std::size_t attempts);

    // dispatcher_completion.cpp
    void begin_refusal(service_state& service, open_request& open, refusal reason, base::time_point now);
    void end_refused(open_request& open, bool known_not_run, refusal reason, base::time_point now);
    void end_delivered(open_request& open, const answer& arrived, config::upstream_id upstream, base::time_point now);
    bool may_resend(const final_reply& reply, const request& arrived, base::time_point now);
    void finish(open_request& open, const final_reply& reply, base::time_point now);
    refuse make_refusal(const request& arrived, bool known_not_run, refusal reason);
    void refuse_as_unknown(const request& arrived, refusal reason);

    // dispatcher_claims.cpp
    void request_claim(service_state& service, open_request& open, base::time_point now);
    void send_intents(const open_request& open);
    void refresh_claim(service_state& service, open_request& open, base::time_point now);
    void update_claim(service_state& service, open_request& open, base::time_point now);
    bool is_granted(const open_request& open, base::time_point now) const;
    std::vector<std::string> other_homes(const service_state& service, const request& arrived) const;
    bool has_other_home(const service_state& service, const request& arrived) const;
    std::optional<std::string> first_host_of(const service_state& service, const std::string& data_centre) const;
    bool may_run_unwitnessed(base::time_point now) const;
    bool needs_claim(const service_state& service, const request& arrived, base::time_point now) const;
    bool has_settled(base::time_point now) const;
    bool is_recently_started(base::time_point now) const;
    /// Returns true when a granted claim and its witnesses ensure that no other
    /// host runs the request.
    bool is_exclusive(const open_request& open, base::time_point now) const;
    bool can_confirm_not_run(const service_state& service, const request& arrived, base::time_point now) const;
    bool collect_witnesses(const service_state& service, const request& arrived, std::vector<claim_witness>& witnesses,
                           base::time_point now) const;
    void on_granted(service_state& service, open_request& open, base::time_point now);
    void on_claim_refused(service_state& service, open_request& open, base::time_point now);
    bool evaluate_intent(const std::string& from, request_key key, config::upstream_id intent, std::uint64_t sequence,
                         base::time_point now);
    bool yields_to(const std::string& from, const open_request& open) const;

    // dispatcher_replication.cpp
    void update_witnesses(base::time_point now);
    void replicate_claims(const std::string& host, base::time_point now);
    void send_replicated_claims(base::time_point now);
    void record_own_claim(request_key key, base::time_point now);

    // dispatcher_tick.cpp
    void detect_pause(base::time_point now);
    void on_pause(base::time_point now);
    void advance(service_state& service, open_request& open, base::time_point now);
    void resume(service_state& service, open_request& open, base::time_point now);
    void expire(service_state& service, open_request& open, base::time_point now);

    std::uint64_t routing_of(const request& arrived) const;
    service_state* find_service(config::service_id id);
    actions take_actions();

    dispatcher_settings settings_;
    base::random_source random_;
    host_directory hosts_;
    std::map<config::service_id, service_state> services_;
    std::unordered_map<request_key, open_request> open_;
    finished_log finished_;
    claim_log claims_;
    exchange_table exchanges_;
    block_affinity affinity_;
    /// Last time at which another host may have started or stopped deciding
    /// requests for later blocks: a change of shard map or deciding hosts, or a
    /// pause.
    base::time_point deciders_changed_{};
    claim_replicator replicator_;
    std::deque<std::pair<base::time_point, request_key>> own_claims_;
    std::set<std::string> witnesses_;
    std::unordered_set<request_key> relayed_while_leaving_;
    dispatcher_counters counters_;
    actions out_;
    std::uint64_t next_sequence_;
    std::optional<base::time_point> last_tick_;
    base::time_point last_start_or_pause_{};
    bool adopted_ = false;
    bool leaving_ = false;
    /// Time since which this host has been among the ready hosts.
    std::optional<base::time_point> deciding_since_;
};

} // namespace galenabay::dispatch
