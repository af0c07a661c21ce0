#include "edge_metrics.hpp"

#include <prometheus/text_serializer.h>

namespace galenabay::edge
{

namespace
{

prometheus::Counter& counter(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Gauge& gauge(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

/// Buckets from 50 µs, a packet's cost on a small host, to 3 s, the configuration bound.
prometheus::Histogram& histogram(prometheus::Registry& registry, const char* name, const char* help)
{
    const prometheus::Histogram::BucketBoundaries bounds{0.00005, 0.0002, 0.001, 0.005, 0.02, 0.1, 0.5, 1.0, 3.0};
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, bounds);
}

} // namespace

edge_metrics::edge_metrics()
    : resets{counter(registry_, "galenabay_resets_total", "Resets sent to callers")},
      malformed_packets{
          counter(registry_, "galenabay_malformed_packets_total", "Datagrams that are not a valid packet or message")},
      send_failures{counter(registry_, "galenabay_send_failures_total", "Datagrams that the kernel did not accept")},
      refused_objects{counter(registry_, "galenabay_refused_objects_total", "Unusable objects in the store")},
      peer_messages{counter(registry_, "galenabay_peer_messages_total", "Messages received from other hosts")},
      peer_bytes_received{
          counter(registry_, "galenabay_peer_bytes_received_total", "Bytes of messages received from other hosts")},
      peer_bytes_sent{counter(registry_, "galenabay_peer_bytes_sent_total", "Bytes of messages sent to other hosts")},
      pauses{
          counter(registry_, "galenabay_pauses_total", "Times that the process did not run for longer than a pause")},
      thread_failures{
          counter(registry_, "galenabay_thread_failures_total", "Exceptions that ended a step of a thread")},
      version{gauge(registry_, "galenabay_configuration_version", "Version of the configuration in force")},
      upstreams{gauge(registry_, "galenabay_upstreams", "Upstream incarnations in the registry, ended ones included")},
      flows{gauge(registry_, "galenabay_flows", "Flows in this host's flow table")},
      ready{gauge(registry_, "galenabay_ready", "1 while this host reports to the routers that it is ready")},
      peers{gauge(registry_, "galenabay_peers", "Other hosts that are live")},
      follows_store{
          gauge(registry_, "galenabay_follows_store", "1 while this host watches the store for its data centre")},
      colliding_upstreams{gauge(registry_, "galenabay_colliding_upstreams",
                                "Upstreams that get no flows because another one has their token")},
      store_unwatched{gauge(registry_, "galenabay_store_unwatched",
                            "1 while no host is known that watches the store for this one's data centre")},
      configuration_behind{gauge(registry_, "galenabay_configuration_behind_seconds",
                                 "Time for which another host is known to have a newer configuration")},
      store_epoch{gauge(registry_, "galenabay_store_epoch",
                        "Epoch of the store's last answer; it rises when the store returns from an older copy")},
      outdated_changes{gauge(registry_, "galenabay_outdated_changes",
                             "Differing registrations that were not applied because a later one was")},
      evacuated_data_centres{gauge(registry_, "galenabay_evacuated_data_centres", "Data centres that are evacuated")},
      evacuations_revision{
          gauge(registry_, "galenabay_evacuations_revision", "Store revision as of which the evacuations are known")},
      evacuated_flows{counter(registry_, "galenabay_evacuated_flows_total",
                              "New flows sent elsewhere because this host's data centre is evacuated")},
      silent_data_centres{gauge(registry_, "galenabay_silent_data_centres",
                                "Other data centres whose upstreams do not answer this host")},
      trial_flows{counter(registry_, "galenabay_trial_flows_total",
                          "New flows sent to a silent data centre to find out whether it answers again")},
      rejected_flows{
          counter(registry_, "galenabay_rejected_flows_total", "Flows that upstreams rejected by a short answer")},
      limited_retries{counter(registry_, "galenabay_limited_retries_total",
                              "Retransmitted SYNs that stayed on their upstream for lack of room on others")},
      ignored_evidence{gauge(registry_, "galenabay_ignored_evidence_upstreams",
                             "Upstreams that get new flows although unanswered SYNs or votes speak against them")},
      avoided_upstreams{
          gauge(registry_, "galenabay_avoided_upstreams",
                "Upstreams without new flows here because of failures, silence or a missing registration")},
      usable_upstreams{gauge(registry_, "galenabay_usable_upstreams", "Upstreams that get new flows of this host")},
      slow_upstreams{gauge(registry_, "galenabay_slow_upstreams",
                           "Upstreams that get less than half of an even share because their answers are late")},
      starting_upstreams{gauge(registry_, "galenabay_starting_upstreams", "Upstreams that are slow after their start")},
      warm_up_shares{gauge(registry_, "galenabay_warm_up_shares",
                           "Starting upstreams to which this host may send a part of their rate of new flows")},
      relayed_syns{counter(registry_, "galenabay_relayed_syns_total",
                           "SYNs passed on to another host for lack of a token of a starting upstream")},
      adopted_shares{counter(registry_, "galenabay_adopted_shares_total",
                             "Parts of the rate of starting upstreams that owners gave to this host")},
      collects{gauge(registry_, "galenabay_collects", "1 while this host collects the loads of its data centre")},
      covered_hosts{
          gauge(registry_, "galenabay_covered_hosts", "Other hosts whose loads this host takes into account")},
      service_occupancy{prometheus::BuildGauge()
                            .Name("galenabay_service_occupancy")
                            .Help("Open requests per slot of a service, through all hosts")
                            .Register(registry_)},
      admitted_share{prometheus::BuildGauge()
                         .Name("galenabay_service_admitted_share")
                         .Help("Share of the new flows that is admitted, by urgency")
                         .Register(registry_)},
      refused_flows{prometheus::BuildCounter()
                        .Name("galenabay_refused_flows_total")
                        .Help("New flows refused for lack of room, by urgency")
                        .Register(registry_)},
      refused_with_free_slots{prometheus::BuildCounter()
                                  .Name("galenabay_refused_with_free_slots_total")
                                  .Help("New flows refused for lack of room while slots were free by the latest sums")
                                  .Register(registry_)},
      handling_time{histogram(registry_, "galenabay_handling_seconds", "Time to decide and send a batch of packets")},
      adoption_time{
          histogram(registry_, "galenabay_adoption_seconds", "Time from the arrival of a change to its adoption")}
{
    auto& decided = prometheus::BuildCounter()
                        .Name("galenabay_packets_total")
                        .Help("Packets by reason of the decision")
                        .Register(registry_);
    for (std::size_t i = 0; i < decisions_.size(); ++i)
    {
        decisions_[i] = &decided.Add({{"reason", name_of(static_cast<steer::steering_reason>(i))}});
    }
    auto& reset = prometheus::BuildCounter()
                      .Name("galenabay_flow_resets_total")
                      .Help("Flows reset without a packet of theirs, by reason")
                      .Register(registry_);
    silent_resets_ = &reset.Add({{"reason", name_of(steer::steering_reason::upstream_silent)}});
    ended_resets_ = &reset.Add({{"reason", name_of(steer::steering_reason::upstream_ended)}});
    auto& probed = prometheus::BuildCounter()
                       .Name("galenabay_probes_total")
                       .Help("Attempts to connect to upstreams by result")
                       .Register(registry_);
    for (std::size_t i = 0; i < probes_.size(); ++i)
    {
        probes_[i] = &probed.Add({{"result", name_of(static_cast<steer::probe_result>(i))}});
    }
    auto& claimed = prometheus::BuildCounter()
                        .Name("galenabay_warm_up_claims_total")
                        .Help("Claims of starting upstreams by result")
                        .Register(registry_);
    for (std::size_t i = 0; i < warm_up_claims_.size(); ++i)
    {
        warm_up_claims_[i] = &claimed.Add({{"result", name_of(static_cast<steer::claim_result>(i))}});
    }
    auto& received = prometheus::BuildCounter()
                         .Name("galenabay_received_syns_total")
                         .Help("SYNs that other hosts passed on, by whether they opened a flow")
                         .Register(registry_);
    opened_syns_ = &received.Add({{"result", "opened"}});
    unopened_syns_ = &received.Add({{"result", "not_opened"}});
    auto& checked = prometheus::BuildCounter()
                        .Name("galenabay_store_checks_total")
                        .Help("Checks whether the store serves this host, by result")
                        .Register(registry_);
    served_checks_ = &checked.Add({{"result", "served"}});
    failed_checks_ = &checked.Add({{"result", "turned_away"}});
    auto& calls = prometheus::BuildCounter()
                      .Name("galenabay_store_calls_total")
                      .Help("Calls to the store by kind of object")
                      .Register(registry_);
    auto& failures = prometheus::BuildCounter()
                         .Name("galenabay_store_failures_total")
                         .Help("Failed calls to the store by kind of object")
                         .Register(registry_);
    for (const auto kind :
         {adapter::object_kind::configuration, adapter::object_kind::upstreams, adapter::object_kind::hosts,
          adapter::object_kind::evacuations, adapter::object_kind::warm_ups})
    {
        store_calls_[index(kind)] = &calls.Add({{"kind", name_of(kind)}});
        store_failures_[index(kind)] = &failures.Add({{"kind", name_of(kind)}});
    }
}

std::string edge_metrics::to_text() const
{
    return prometheus::TextSerializer{}.Serialize(registry_.Collect());
}

} // namespace galenabay::edge
