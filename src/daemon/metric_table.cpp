#include "metric_table.hpp"

#include <prometheus/client_metric.h>
#include <prometheus/metric_family.h>
#include <prometheus/metric_type.h>

#include <string>
#include <string_view>

namespace galenabay::daemon
{

namespace
{

/// Exported name, help text and optional label of a metric.
struct definition
{
    std::string_view name;
    std::string_view help;
    std::string_view label;
    std::string_view label_value;
};

/// In the order of `metric`. Rows with the same name form one metric family.
constexpr definition definitions[] = {
    {"galenabay_packets_received_total", "Datagrams received", "origin", "caller"},
    {"galenabay_packets_received_total", "Datagrams received", "origin", "upstream"},
    {"galenabay_packets_received_total", "Datagrams received", "origin", "host"},
    {"galenabay_packets_sent_total", "Datagrams sent", "destination", "caller"},
    {"galenabay_packets_sent_total", "Datagrams sent", "destination", "upstream"},
    {"galenabay_packets_sent_total", "Datagrams sent", "destination", "host"},
    {"galenabay_packets_dropped_total", "Datagrams dropped", "reason", "oversize"},
    {"galenabay_packets_dropped_total", "Datagrams dropped", "reason", "malformed_proxy"},
    {"galenabay_packets_dropped_total", "Datagrams dropped", "reason", "malformed_coap"},
    {"galenabay_packets_dropped_total", "Datagrams dropped", "reason", "malformed_peer"},
    {"galenabay_packets_dropped_total", "Datagrams dropped", "reason", "unknown_host"},
    {"galenabay_packets_dropped_total", "Datagrams dropped", "reason", "unknown_upstream"},
    {"galenabay_packets_dropped_total", "Datagrams dropped", "reason", "wrong_service"},
    {"galenabay_packets_dropped_total", "Datagrams dropped", "reason", "no_buffer"},
    {"galenabay_packets_dropped_total", "Datagrams dropped", "reason", "no_socket"},
    {"galenabay_packets_dropped_total", "Datagrams dropped", "reason", "send_failed"},
    {"galenabay_packets_dropped_total", "Datagrams dropped", "reason", "cut"},
    {"galenabay_packets_dropped_total", "Datagrams dropped", "reason", "paused"},
    {"galenabay_flows", "Flows in the flow table of this host", "", ""},
    {"galenabay_flows_evicted_total", "Flows evicted from the flow table", "reason", "idle"},
    {"galenabay_flows_evicted_total", "Flows evicted from the flow table", "reason", "table_full"},
    {"galenabay_flow_packets_relayed_total", "Flow packets relayed to the deciding host", "", ""},
    {"galenabay_flow_records_total", "Flow records exchanged with peers", "direction", "sent"},
    {"galenabay_flow_records_total", "Flow records exchanged with peers", "direction", "received"},
    {"galenabay_requests_total", "Requests received, retransmissions excluded", "", ""},
    {"galenabay_requests_open", "Requests queued or running", "", ""},
    {"galenabay_request_retransmissions_total", "Retransmissions of known requests", "", ""},
    {"galenabay_request_answers_total", "Responses delivered to callers", "", ""},
    {"galenabay_request_stray_answers_total", "Responses that match no open request", "", ""},
    {"galenabay_requests_relayed_total", "Requests relayed to the deciding host", "", ""},
    {"galenabay_request_intents_total", "Intents exchanged before non-idempotent requests", "outcome", "sent"},
    {"galenabay_request_intents_total", "Intents exchanged before non-idempotent requests", "outcome", "refused"},
    {"galenabay_revision_number", "Number of the revision in force; 0: none", "", ""},
    {"galenabay_revisions_adopted_total", "Revisions adopted", "", ""},
    {"galenabay_revision_alarms_total", "Older or conflicting revisions offered by a source", "", ""},
    {"galenabay_revision_failed_fetches_total", "Failed reads of a revision", "", ""},
    {"galenabay_platform_calls_total", "Calls to the platform", "", ""},
    {"galenabay_platform_failures_total", "Failed calls to the platform", "", ""},
    {"galenabay_platform_throttled_total", "Calls delayed by the call budget", "", ""},
    {"galenabay_platform_reachable", "1 when the last call to the platform succeeded", "", ""},
    {"galenabay_status_writes_total", "Status objects written", "", ""},
    {"galenabay_status_conflicts_total", "Status writes refused because another host wrote", "", ""},
    {"galenabay_control_bytes_total", "Bytes of control traffic with peers", "direction", "sent"},
    {"galenabay_control_bytes_total", "Bytes of control traffic with peers", "direction", "received"},
    {"galenabay_heartbeats_total", "Heartbeats to peers", "outcome", "ok"},
    {"galenabay_heartbeats_total", "Heartbeats to peers", "outcome", "failed"},
    {"galenabay_hosts_live", "Hosts that take part in decisions, this one included", "", ""},
    {"galenabay_upstreams_unhealthy", "Upstreams that fail health probes", "", ""},
    {"galenabay_pauses_total", "Detected pauses of the process", "", ""},
    {"galenabay_ring_drops_total", "Elements dropped by a full ring", "ring", "decide"},
    {"galenabay_ring_drops_total", "Elements dropped by a full ring", "ring", "send"},
    {"galenabay_ring_waiting", "Elements waiting in a ring", "ring", "decide"},
    {"galenabay_ring_waiting", "Elements waiting in a ring", "ring", "send"},
    {"galenabay_ready", "1 when this host is ready to serve", "", ""},
};
static_assert(std::size(definitions) == static_cast<std::size_t>(metric::count));

bool is_counter(std::string_view name)
{
    return name.ends_with("_total");
}

prometheus::MetricFamily& family_of(std::vector<prometheus::MetricFamily>& families, std::string_view name,
                                    std::string_view help)
{
    for (auto& family : families)
    {
        if (family.name == name)
        {
            return family;
        }
    }
    auto& family = families.emplace_back();
    family.name = name;
    family.help = help;
    family.type = is_counter(name) ? prometheus::MetricType::Counter : prometheus::MetricType::Gauge;
    return family;
}

void append_value(std::vector<prometheus::MetricFamily>& families, const definition& row, std::uint64_t value)
{
    auto& family = family_of(families, row.name, row.help);
    auto& sample = family.metric.emplace_back();
    if (!row.label.empty())
    {
        sample.label.push_back({std::string{row.label}, std::string{row.label_value}});
    }
    sample.counter.value = static_cast<double>(value);
    sample.gauge.value = static_cast<double>(value);
}

template <typename Reason, std::size_t Size>
void append_reasons(std::vector<prometheus::MetricFamily>& families, std::string_view name, std::string_view help,
                    const std::array<std::atomic<std::uint64_t>, Size>& values)
{
    for (std::size_t i = 0; i < Size; ++i)
    {
        const definition row{name, help, "reason", name_of(static_cast<Reason>(i))};
        append_value(families, row, values[i].load(std::memory_order_relaxed));
    }
}

} // namespace

std::vector<prometheus::MetricFamily> metric_table::Collect() const
{
    std::vector<prometheus::MetricFamily> families;
    for (std::size_t i = 0; i < values_.size(); ++i)
    {
        append_value(families, definitions[i], values_[i].load(std::memory_order_relaxed));
    }
    append_reasons<flow::drop_reason>(families, "galenabay_flow_drops_total", "Flow packets dropped", drops_);
    append_reasons<dispatch::refusal>(families, "galenabay_refusals_total", "Requests refused", refusals_);
    append_reasons<dispatch::retry_reason>(families, "galenabay_retries_total", "Request retries", retries_);
    return families;
}

} // namespace galenabay::daemon
