#include "packet_worker.hpp"

#include "guarded_step.hpp"

#include <galenabay/base/log.hpp>
#include <galenabay/base/steady_clock.hpp>
#include <platform/packet_header.hpp>

#include <poll.h>

#include <algorithm>
#include <map>
#include <utility>

namespace galenabay::edge
{

namespace
{

using base::log_event;
using base::log_level;

/// Interval at which the number of suppressed log lines is logged, gauges are set and
/// silent hosts are removed.
constexpr base::duration summary_interval = std::chrono::seconds{5};

/// Time after its start for which a host leaves packets in the socket until it is ready;
/// callers have retransmitted older ones.
constexpr base::duration startup_deferral = std::chrono::milliseconds{1'000};
/// Longest time for which the packets that are in the socket at the end are steered: below the
/// time that is reserved for the exit, and enough for several thousand packets.
constexpr base::duration finish_limit = std::chrono::milliseconds{200};

/// Returns the options with the process by which lists of holders name this one.
steer::steering_options with_self(steer::steering_options options, const packet_worker::identity& self)
{
    options.warm_ups.self = {.host = self.name, .process_started_us = self.started_us};
    return options;
}

} // namespace

packet_worker::packet_worker(net::udp_socket socket, net::udp_socket peers, identity self,
                             std::vector<base::endpoint> seeds, const steer::steering_options& options,
                             const peers::exchange_options& exchange, std::uint64_t seed, shared_state& state,
                             edge_metrics& metrics)
    : socket_{std::move(socket)}, state_{state}, metrics_{metrics}, steerer_{with_self(options, self), seed},
      peers_{std::move(peers), peers::fleet_exchange{self, std::move(seeds), exchange, base::mix(seed, 1)}, metrics},
      data_centre_{options.data_centre},
      has_evacuations_{options.evacuation_bound.has_value()}, probes_{state, wakeup_, metrics.thread_failures},
      warm_ups_{{.host = std::move(self.name), .process_started_us = self.started_us}, state, metrics, wakeup_},
      buffers_(net::batch_size)
{
}

packet_worker::~packet_worker()
{
    finish();
}

void packet_worker::finish()
{
    if (thread_.joinable())
    {
        wakeup_.notify();
        thread_.join();
    }
}

void packet_worker::start()
{
    probes_.start();
    warm_ups_.start();
    thread_ = std::thread{[this] { run(); }};
}

bool packet_worker::is_deferring(base::time_point now) const
{
    return !steerer_.is_ready() && now < defer_until_;
}

void packet_worker::run()
{
    defer_until_ = base::steady_now() + startup_deferral;
    while (!state_.stopping())
    {
        run_guarded("packets", metrics_.thread_failures, [this] { run_step(); });
    }
    run_guarded("packets", metrics_.thread_failures, [this] { receive_rest(); });
}

void packet_worker::receive_rest()
{
    const auto end = base::steady_now() + finish_limit;
    for (auto now = base::steady_now(); now < end && receive(now); now = base::steady_now())
    {
    }
}

void packet_worker::run_step()
{
    wait();
    detect_pause();
    for (auto& ring : updates_)
    {
        apply_queued(ring);
    }
    if (!is_deferring(base::steady_now()))
    {
        receive(base::steady_now());
    }
    exchange_with_peers(base::steady_now());
    exchange_probes(base::steady_now());
    apply_warm_up_reports(base::steady_now());
    if (state_.answer_times.is_requested())
    {
        // Taken back first: a request whose report throws must not keep this thread from its ticks.
        state_.answer_times.withdraw();
        const auto now = base::steady_now();
        state_.answer_times.publish(steerer_.report_answer_times(now), now);
    }
    if (const auto now = base::steady_now(); now >= next_tick_)
    {
        tick(now);
    }
}

void packet_worker::detect_pause()
{
    const auto boot_time = base::boot_now();
    const auto last = std::exchange(ran_at_, boot_time);
    if (!last || boot_time - *last <= steerer_.pause_limit())
    {
        return;
    }
    const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(boot_time - *last);
    log_event{log_level::warning, "process_paused"}.with("gap_ms", gap.count());
    metrics_.pauses.Increment();
    steerer_.on_pause(base::steady_now());
    peers_.exchange().on_pause(base::steady_now());
}

void packet_worker::wait()
{
    wakeup_.prepare();
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(next_tick_ - base::steady_now());
    const bool has_updates =
        probes_.has_completed() || warm_ups_.has_reports() || state_.answer_times.is_requested() ||
        std::any_of(updates_.begin(), updates_.end(), [](const update_ring& ring) { return ring.size() > 0; });
    const auto timeout = has_updates ? 0 : std::max<std::int64_t>(left.count(), 0);
    const short awaited = is_deferring(base::steady_now()) ? 0 : POLLIN;
    std::array<pollfd, 3> entries{pollfd{socket_.descriptor(), awaited, 0}, pollfd{wakeup_.descriptor(), POLLIN, 0},
                                  pollfd{peers_.descriptor(), POLLIN, 0}};
    if (poll(entries.data(), entries.size(), static_cast<int>(timeout)) > 0 && entries[1].revents != 0)
    {
        wakeup_.clear();
    }
    wakeup_.cancel();
}

bool packet_worker::receive(base::time_point now)
{
    std::array<net::packet*, net::batch_size> batch{};
    std::transform(buffers_.begin(), buffers_.end(), batch.begin(), [](net::packet& buffer) { return &buffer; });
    const auto got = net::receive_batch(socket_.descriptor(), batch);
    if (got.received == 0)
    {
        return false;
    }
    state_.last_packet_us.store(now.time_since_epoch().count());
    const auto end = std::partition(batch.begin(), batch.begin() + static_cast<std::ptrdiff_t>(got.received),
                                    [&](net::packet* datagram) { return decide(*datagram, now); });
    send({batch.begin(), end});
    metrics_.handling_time.Observe(seconds_between(now, base::steady_now()));
    return true;
}

bool packet_worker::decide(net::packet& datagram, base::time_point now)
{
    const auto header = adapter::decode_header(datagram.payload());
    if (!header)
    {
        metrics_.malformed_packets.Increment();
        return false;
    }
    return apply(steerer_.on_packet(*header, now), *header, datagram, now);
}

bool packet_worker::apply(steer::steering_decision decision, const steer::packet_header& header, net::packet& datagram,
                          base::time_point now)
{
    if (decision.action == steer::steering_action::relay && !pass_on(datagram.payload(), decision.relay, now))
    {
        decision.action = steer::may_have_opened(header) ? steer::steering_action::drop : steer::steering_action::reset;
        decision.reason = steer::steering_reason::warm_up_limit;
    }
    metrics_.decisions(decision.reason).Increment();
    limited_flows_ +=
        decision.action == steer::steering_action::reset && decision.reason == steer::steering_reason::warm_up_limit
            ? 1
            : 0;
    log_.packet(header, decision, steerer_.routes().version(), now);
    switch (decision.action)
    {
    case steer::steering_action::drop:
    case steer::steering_action::relay:
        return false;
    case steer::steering_action::reset:
        metrics_.resets.Increment();
        datagram.peer = base::endpoint::make_v4(header.flow.caller_address, socket_.local().port());
        return datagram.assign(adapter::encode_reset(decision.reset));
    case steer::steering_action::forward:
        break;
    }
    adapter::write_token(datagram.mutable_payload(), decision.token);
    datagram.peer = decision.upstream;
    return datagram.prepend(adapter::encode_upstream_number(decision.upstream_number));
}

void packet_worker::send(std::span<net::packet* const> datagrams)
{
    // Callers retransmit what is lost here; waiting would delay the other packets.
    metrics_.send_failures.Increment(static_cast<double>(net::send_all(socket_.descriptor(), datagrams)));
}

void packet_worker::process_outcome(const steer::steerer::outcome& effects, const steer::store_revision& revision,
                                    base::time_point now)
{
    for (const auto& change : effects.changes)
    {
        log_.upstream(change, revision, now);
    }
    log_relapses(effects);
    log_silences(effects.resets, now);
    send_resets(effects.resets, now);
}

void packet_worker::log_silences(const std::vector<steer::lost_flow>& resets, base::time_point now)
{
    std::map<steer::upstream_token, std::vector<steer::lost_flow>> by_upstream;
    for (const auto& lost : resets)
    {
        if (lost.reason == steer::steering_reason::upstream_silent)
        {
            by_upstream[lost.token].push_back(lost);
        }
    }
    for (const auto& [token, lost] : by_upstream)
    {
        if (const auto* upstream = steerer_.registry().find(token); upstream != nullptr)
        {
            log_.silence(*upstream, lost, now);
        }
    }
}

void packet_worker::send_resets(const std::vector<steer::lost_flow>& resets, base::time_point now)
{
    for (const auto& lost : resets)
    {
        metrics_.resets.Increment();
        metrics_.flow_resets(lost.reason).Increment();
        log_.reset(lost, now);
        auto& datagram = buffers_.front();
        datagram.peer = base::endpoint::make_v4(lost.reset.flow.caller_address, socket_.local().port());
        if (datagram.assign(adapter::encode_reset(lost.reset)))
        {
            const std::array<net::packet*, 1> single{&datagram};
            send(single);
        }
    }
}

void packet_worker::tick(base::time_point now)
{
    next_tick_ = now + steer::steerer::tick_interval;
    state_.observe_store_epoch(upstreams_position_.revision().epoch);
    check_watch(now);
    process_outcome(steerer_.on_tick(now), {}, now);
    update_list_wait(now);
    mark_ready();
    request_warm_ups(now);
    report_evacuations("hold_ended");
    report_links();
    report_slowed(now);
    report_avoidance(now);
    report_collisions();
    apply_demands(now);
    if (snapshot_due_ && steerer_.is_ready())
    {
        publish_snapshot();
    }
    if (now < next_summary_)
    {
        return;
    }
    next_summary_ = now + summary_interval;
    log_.summarize();
    state_.request_removal(peers_.exchange().expire(now));
    metrics_.upstreams.Set(static_cast<double>(steerer_.registry().size()));
    metrics_.peers.Set(static_cast<double>(peers_.exchange().live_count(now)));
    metrics_.covered_hosts.Set(static_cast<double>(peers_.exchange().covered_hosts(now)));
    report_warm_ups(now);
    metrics_.flows.Set(static_cast<double>(steerer_.flow_count()));
    metrics_.slow_upstreams.Set(static_cast<double>(steerer_.slow_count()));
    report_behind(now);
    metrics_.store_epoch.Set(static_cast<double>(state_.store_epoch.load()));
    metrics_.evacuated_flows.Increment(static_cast<double>(steerer_.moved_flow_count()) -
                                       metrics_.evacuated_flows.Value());
    report_shortage();
    metrics_.outdated_changes.Set(static_cast<double>(steerer_.registry().outdated_count()));
}

} // namespace galenabay::edge
