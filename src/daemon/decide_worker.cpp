#include "decide_worker.hpp"

#include <galenabay/base/log.hpp>
#include <galenabay/base/steady_clock.hpp>

#include <chrono>
#include <utility>
#include <variant>

namespace galenabay::daemon
{

namespace
{

constexpr base::duration tick_interval{10'000};
constexpr base::duration metrics_interval{100'000};
/// A longer gap between two rounds means that the process was paused.
constexpr base::duration pause_limit{1'000'000};
constexpr std::size_t packets_per_round = 256;
constexpr std::chrono::milliseconds idle_wait{10};
/// Share of the control bandwidth that flow records may use, in percent.
constexpr std::size_t records_share_percent = 30;
/// Interval at which flow records are collected for the next heartbeats.
constexpr base::duration records_interval{500'000};
constexpr std::size_t microseconds_per_second = 1'000'000;

} // namespace

decide_worker::decide_worker(const config::host_settings& settings, std::uint64_t seed, channels& links,
                             packet_pool& pool, metric_table& metrics, thread_state& state,
                             const net::udp_socket& upstream_socket, int relay_socket)
    : settings_{settings}, links_{links}, pool_{pool}, metrics_{metrics}, state_{state},
      path_{settings, seed, links, pool, metrics, upstream_socket, relay_socket}
{
}

void decide_worker::detect_pause(base::time_point now)
{
    const bool paused = last_round_ != base::time_point{} && now - last_round_ > pause_limit;
    if (paused)
    {
        open_pause_ = state_.pauses.fetch_add(1) + 1;
        base::log_event{base::log_level::warning, "pause_noticed"}.with("gap_ms", (now - last_round_).count() / 1000);
        path_.on_pause(now);
    }
    last_round_ = now;
}

void decide_worker::handle(const decide_event& event, base::time_point now)
{
    if (const auto* adopted = std::get_if<revision_event>(&event))
    {
        path_.on_revision(adopted->revision, now);
        state_.serving.store(true);
    }
    else if (const auto* hosts = std::get_if<hosts_event>(&event))
    {
        path_.on_hosts(hosts->hosts, now);
    }
    else if (const auto* listed = std::get_if<listed_event>(&event))
    {
        path_.on_listed_hosts(listed->hosts, now);
    }
    else if (const auto* records = std::get_if<records_event>(&event))
    {
        path_.on_records(records->records, now);
    }
    else if (const auto* resumed = std::get_if<resumed_event>(&event))
    {
        open_pause_ = resumed->pause >= open_pause_ ? 0 : open_pause_;
    }
    else if (std::holds_alternative<leave_event>(event))
    {
        path_.on_leave(now);
    }
}

bool decide_worker::handle_events(base::time_point now)
{
    bool any = false;
    for (decide_event event; links_.control_to_decide.pop(event);)
    {
        handle(event, now);
        any = true;
    }
    return any;
}

bool decide_worker::handle_packets(base::time_point now)
{
    std::size_t count = 0;
    for (net::packet* received = nullptr; count < packets_per_round && links_.receive_to_decide.pop(received); ++count)
    {
        if (open_pause_ != 0 && received->origin != net::packet_origin::upstream)
        {
            metrics_.add(metric::dropped_paused);
            pool_.release(received);
            continue;
        }
        path_.on_packet(received, now);
    }
    return count > 0;
}

void decide_worker::send_records(base::time_point now)
{
    const auto interval_us = static_cast<std::size_t>(records_interval.count());
    const std::size_t budget =
        settings_.control_bytes_per_second * records_share_percent / 100 * interval_us / microseconds_per_second;
    for (auto& batch : path_.take_records(budget, now))
    {
        links_.decide_to_control.push(std::move(batch));
    }
}

void decide_worker::tick(base::time_point now)
{
    if (now >= next_tick_)
    {
        next_tick_ = now + tick_interval;
        path_.on_tick(now);
        state_.open_requests.store(path_.open_requests(), std::memory_order_relaxed);
    }
    if (now >= next_records_)
    {
        next_records_ = now + records_interval;
        send_records(now);
    }
    if (now >= next_metrics_)
    {
        next_metrics_ = now + metrics_interval;
        path_.publish_metrics();
        metrics_.set(metric::decide_ring_drops, links_.receive_to_decide.drops());
        metrics_.set(metric::decide_ring_waiting, links_.receive_to_decide.size());
        metrics_.set(metric::send_ring_drops, links_.decide_to_send.drops());
        metrics_.set(metric::send_ring_waiting, links_.decide_to_send.size());
    }
}

bool decide_worker::run_round(base::time_point now)
{
    detect_pause(now);
    tick(now);
    const bool events = handle_events(now);
    const bool packets = handle_packets(now);
    path_.flush();
    return events || packets;
}

void decide_worker::run()
{
    while (!state_.stop.load(std::memory_order_relaxed))
    {
        if (run_round(base::steady_now()))
        {
            continue;
        }
        links_.decide_wakeup.prepare();
        if (run_round(base::steady_now()))
        {
            links_.decide_wakeup.cancel();
            continue;
        }
        links_.decide_wakeup.wait(idle_wait);
    }
}

} // namespace galenabay::daemon
