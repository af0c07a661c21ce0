#pragma once

#include <galenabay/dispatch/action.hpp>
#include <galenabay/flow/steering.hpp>

#include <prometheus/collectable.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace galenabay::daemon
{

/// Metrics with a single value. Their exported names, labels and help texts are in metric_table.cpp.
enum class metric
{
    packets_from_callers,
    packets_from_upstreams,
    packets_from_hosts,
    packets_to_callers,
    packets_to_upstreams,
    packets_to_hosts,
    dropped_oversize,
    dropped_malformed_proxy,
    dropped_malformed_coap,
    dropped_malformed_peer,
    dropped_unknown_host,
    dropped_unknown_upstream,
    dropped_wrong_service,
    dropped_no_buffer,
    dropped_no_socket,
    dropped_send_failed,
    /// Blocked by the simulated partition.
    dropped_cut,
    dropped_paused,
    flows_open,
    flows_evicted_idle,
    flows_evicted_full,
    flows_relayed,
    flow_records_sent,
    flow_records_received,
    requests,
    requests_open,
    request_retransmissions,
    request_answers,
    request_stray_answers,
    requests_relayed,
    request_intents_sent,
    request_intents_refused,
    revision_number,
    revisions_adopted,
    revision_alarms,
    revision_failed_fetches,
    platform_calls,
    platform_failures,
    platform_throttled,
    platform_reachable,
    status_writes,
    status_conflicts,
    control_bytes_sent,
    control_bytes_received,
    heartbeats_ok,
    heartbeats_failed,
    hosts_live,
    upstreams_unhealthy,
    pauses_detected,
    decide_ring_drops,
    send_ring_drops,
    decide_ring_waiting,
    send_ring_waiting,
    ready,
    count,
};

/// Values of all metrics of one process. The threads update them and the metrics server reads them; all access is
/// atomic.
class metric_table : public prometheus::Collectable
{
public:
    void add(metric which, std::uint64_t amount = 1) noexcept
    {
        values_[index(which)].fetch_add(amount, std::memory_order_relaxed);
    }
    void set(metric which, std::uint64_t value) noexcept
    {
        values_[index(which)].store(value, std::memory_order_relaxed);
    }
    std::uint64_t get(metric which) const noexcept { return values_[index(which)].load(std::memory_order_relaxed); }

    void set_drop(flow::drop_reason reason, std::uint64_t value) noexcept
    {
        drops_[static_cast<std::size_t>(reason)].store(value, std::memory_order_relaxed);
    }
    void set_refusal(dispatch::refusal reason, std::uint64_t value) noexcept
    {
        refusals_[static_cast<std::size_t>(reason)].store(value, std::memory_order_relaxed);
    }
    void set_retry(dispatch::retry_reason reason, std::uint64_t value) noexcept
    {
        retries_[static_cast<std::size_t>(reason)].store(value, std::memory_order_relaxed);
    }

    /// Returns all values in the form that the metrics library serializes.
    std::vector<prometheus::MetricFamily> Collect() const override; // NOLINT(readability-identifier-naming)

private:
    static constexpr std::size_t index(metric which) noexcept { return static_cast<std::size_t>(which); }

    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(metric::count)> values_{};
    std::array<std::atomic<std::uint64_t>, flow::drop_reason_count> drops_{};
    std::array<std::atomic<std::uint64_t>, dispatch::refusal_count> refusals_{};
    std::array<std::atomic<std::uint64_t>, dispatch::retry_reason_count> retries_{};
};

} // namespace galenabay::daemon
