// The metrics function of packet_path: publishes the counters of steering and dispatch.

#include "packet_path.hpp"

namespace galenabay::daemon
{

void packet_path::publish_metrics()
{
    const auto& flows = steering_.counters();
    metrics_.set(metric::flows_open, flows.flows);
    metrics_.set(metric::flows_evicted_idle, flows.evicted_idle);
    metrics_.set(metric::flows_evicted_full, flows.evicted_full);
    metrics_.set(metric::flows_relayed, flows.relayed);
    metrics_.set(metric::flow_records_sent, flows.records_sent);
    metrics_.set(metric::flow_records_received, flows.records_received);
    for (std::size_t i = 0; i < flow::drop_reason_count; ++i)
    {
        metrics_.set_drop(static_cast<flow::drop_reason>(i), flows.dropped[i]);
    }
    const auto& requests = dispatcher_.counters();
    metrics_.set(metric::requests, requests.requests);
    metrics_.set(metric::requests_open, dispatcher_.open_requests());
    metrics_.set(metric::request_retransmissions, requests.retransmissions);
    metrics_.set(metric::request_answers, requests.delivered);
    metrics_.set(metric::requests_relayed, requests.relayed);
    metrics_.set(metric::request_intents_sent, requests.intents_sent);
    metrics_.set(metric::request_intents_refused, requests.intents_refused);
    for (std::size_t i = 0; i < dispatch::refusal_count; ++i)
    {
        metrics_.set_refusal(static_cast<dispatch::refusal>(i), requests.refused[i]);
    }
    for (std::size_t i = 0; i < dispatch::retry_reason_count; ++i)
    {
        metrics_.set_retry(static_cast<dispatch::retry_reason>(i), requests.retried[i]);
    }
    metrics_.set(metric::upstreams_unhealthy, prober_.unhealthy_count());
}

} // namespace galenabay::daemon
