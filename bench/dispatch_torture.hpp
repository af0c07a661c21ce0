#pragma once

#include <galenabay/base/hash.hpp>
#include <galenabay/base/random.hpp>
#include <galenabay/dispatch/dispatcher.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Fault-injection simulation of a few dispatchers, in virtual time.
namespace galenabay::torture
{

using namespace galenabay::dispatch;
using namespace std::chrono_literals;

// Times are scaled down: callers retransmit for about 11 s instead of 45 s.
constexpr base::duration ack_timeout = 500ms;
constexpr int max_retransmit = 4;
constexpr base::duration retransmission_span = 12s;
constexpr base::duration peer_timeout = 1500ms;
constexpr base::duration heartbeat_interval = 300ms;
constexpr base::duration settle_time = 2s;
constexpr base::duration pause_limit = 500ms;
/// Time within which a host that has become ready receives the state of others.
constexpr base::duration replication_time = 2s;
constexpr std::uint32_t deadline_ms = 2500;
constexpr base::duration load_time = 20s;
constexpr base::duration recovery_time = 20s;
constexpr base::duration warm_up = 13s;
/// Number of the last block of a transfer; the first is 0.
constexpr std::uint32_t last_block = 3;
/// CoAP code 5.03 (Service Unavailable).
constexpr std::uint8_t code_unavailable = 0xa3;

/// Counts over all seeds of a run of the program.
struct totals
{
    std::uint64_t requests = 0;
    std::uint64_t runs = 0;
    std::uint64_t answers = 0;
    std::uint64_t refusals_not_run = 0;
    std::uint64_t refusals_unknown = 0;
    std::uint64_t unanswered = 0;
    /// Answered blocks other than the first of their transfer.
    std::uint64_t later_blocks = 0;
    std::uint64_t kills = 0;
    std::uint64_t freezes = 0;
    /// Network partitions of a data centre.
    std::uint64_t cuts = 0;
    std::uint64_t drains = 0;
    /// Requests that an upstream refused with 5.03.
    std::uint64_t sheds = 0;
    std::uint64_t revisions = 0;
    std::uint64_t violations = 0;
};

/// A simulated host, which may be frozen, stopped and restarted.
struct host_process
{
    std::string name;
    std::string data_centre;
    std::unique_ptr<dispatcher> subject;
    std::uint64_t incarnation = 0;
    bool alive = false;
    bool ready = false;
    base::time_point ready_since{};
    bool leaving = false;
    bool frozen = false;
    /// Calls that arrived while the host was frozen.
    std::vector<std::function<void()>> backlog;
    /// When the last heartbeat of each ready peer arrived, by index of the peer.
    std::map<std::size_t, base::time_point> last_heartbeats;
};

/// The host process that sent a request to an upstream and gets the answer.
struct sender
{
    std::size_t host = 0;
    std::uint64_t incarnation = 0;
};

/// A simulated upstream.
struct upstream_process
{
    config::upstream target;
    std::uint32_t running = 0;
    bool failed = false;
};

/// A request and what its caller and the upstreams have observed of it.
struct caller_request
{
    request message;
    bool replied = false;
    bool refused_as_not_run = false;
    std::uint32_t runs = 0;
    /// Identifier of the caller's transfer of several blocks; 0: none.
    std::size_t transfer = 0;
};

/// Payload of an answer: which request it answers and which upstream sent it
/// (index plus 1).
struct answer_content
{
    request_key key = 0;
    std::uint64_t upstream = 0;
};

/// One seeded run: hosts, upstreams and callers, and the faults between them.
/// Every fault and delay is derived from the seed, so that a run can be repeated.
class world
{
public:
    world(std::uint64_t seed, totals& counts, request_key traced)
        : seed_{seed}, random_{seed}, counts_{counts}, traced_{traced}
    {
    }

    /// Returns true if no guarantee was violated.
    bool run();

private:
    struct event
    {
        base::time_point at;
        std::uint64_t order;
        std::function<void()> callback;
        bool operator<(const event& other) const { return std::pair{other.at, other.order} < std::pair{at, order}; }
    };

    /// Runs `callback` after `delay`, unless the simulation ends before.
    void schedule(base::duration delay, std::function<void()> callback);
    static base::time_point end() { return base::time_point{warm_up + load_time + recovery_time}; }
    base::duration random_duration(base::duration low, base::duration high);
    bool chance(double probability) { return random_.unit() < probability; }

    /// Prints and counts a violation of `guarantee`.
    void report_violation(const char* guarantee, request_key key);

    /// Prints a line if `key` is the traced request; with `key` 0, the line is
    /// an event of a host and is printed whenever a request is traced.
    void trace(request_key key, std::initializer_list<std::string_view> words) const;

    // Set-up.

    void create_fleet();

    void make_revisions();

    void start_host(std::size_t index);

    // Hosts.

    /// Runs `callback` on the dispatcher of a live host and performs the actions
    /// that it returns. Defers this until the thaw if the host is frozen.
    void on_host(std::size_t index, std::function<actions(dispatcher&)> callback);

    void tick(std::size_t index, std::uint64_t incarnation);

    void heartbeat(std::size_t index);

    void receive_heartbeat(std::size_t index, std::size_t peer, bool is_ready);

    void refresh_view(std::size_t index);

    void trace_view(std::size_t index, const std::vector<membership::live_host>& live);

    std::optional<std::size_t> find_host(const std::string& name) const;

    bool is_partitioned(std::size_t a, std::size_t b) const;

    /// Sends a message between hosts; may drop, delay, reorder or duplicate it.
    void transmit(std::size_t from, std::size_t to, const std::function<void()>& callback);

    base::duration network_delay() { return chance(0.03) ? random_duration(1ms, 400ms) : random_duration(100us, 2ms); }

    // Actions.

    void perform(std::size_t index, const actions& list);

    void apply(std::size_t index, const send_to_upstream& sent);
    void apply(std::size_t /*index*/, const cancel_at_upstream& cancel);
    void apply(std::size_t index, const deliver& reply);
    void apply(std::size_t index, const refuse& reply);
    void apply(std::size_t index, const relay_request& relayed);
    void apply(std::size_t index, const send_intent& intent);
    void apply(std::size_t index, const send_intent_reply& reply);

    // Upstreams.

    void receive_at_upstream(const sender& from, std::size_t upstream, const send_to_upstream& sent);

    void finish_run(const sender& from, std::size_t upstream, const send_to_upstream& sent);

    void deliver_answer(const sender& to, const answer& value);

    void send_answer(const sender& to, std::size_t upstream, const request& original, std::uint8_t code,
                     base::duration delay);

    // Callers.

    void schedule_load();

    void begin_request(std::size_t index);

    void request_block(std::size_t transfer, std::uint16_t port, std::uint32_t block);

    void on_block_answer(const caller_request& tracked, std::uint64_t upstream);

    void submit(caller_request tracked);

    void send_with_retransmission(request_key key, int number, base::duration timeout);

    void receive_at_host(std::size_t host, request_key key, bool relayed);

    // Faults.

    void schedule_faults();

    /// `kinds`: which faults this seed may use, one bit each.
    void inject_fault(std::uint64_t kinds);

    /// True if no host was killed within the span in which callers retransmit:
    /// the dispatchers guarantee their behaviour for one such failure per span.
    /// Planned stops are not limited.
    bool may_lose_state() const { return now_ >= next_state_loss_; }

    void kill(std::size_t index);

    void stop_host(std::size_t index);

    void freeze(std::size_t index);

    void thaw(std::size_t index);

    void partition_data_centre(const std::string& data_centre);

    void drain(std::size_t index);

    /// True if another host has been ready long enough to hold the state of this
    /// one. No guarantee holds if all hosts lose their state at once.
    bool has_replica_host(std::size_t index) const;

    void fail_upstream(std::size_t index);

    void distribute_second_revision();

    void clear_faults();

    void check_final_state();

    std::uint64_t seed_;
    base::random_source random_;
    totals& counts_;
    request_key traced_;
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    base::time_point now_{};
    std::vector<host_process> hosts_;
    std::vector<upstream_process> upstreams_;
    /// Names of the live hosts in the view last traced, by index of the viewer.
    std::map<std::size_t, std::string> views_;
    std::map<request_key, caller_request> requests_;
    /// Which upstream served the first block, by transfer.
    std::map<std::size_t, std::uint64_t> first_blocks_;
    std::uint16_t next_message_id_ = 0;
    std::set<std::pair<request_key, base::endpoint>> cancelled_;
    std::set<std::string> partitioned_;
    config::service service_;
    config::accepted_revision first_revision_;
    config::accepted_revision second_revision_;
    bool is_second_distributed_ = false;
    /// Index of the upstream that refuses all requests; out of range: none.
    std::size_t shedding_upstream_ = SIZE_MAX;
    /// Earliest time at which a host may be killed again.
    base::time_point next_state_loss_{};
    std::uint16_t next_upstream_message_id_ = 0;
    double loss_probability_ = 0;
    double duplication_probability_ = 0;
    std::uint64_t violations_ = 0;
};

} // namespace galenabay::torture
