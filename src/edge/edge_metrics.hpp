#pragma once

#include <galenabay/steer/steering_decision.hpp>
#include <galenabay/steer/upstream_probe.hpp>
#include <galenabay/steer/warm_up_claims.hpp>
#include <platform/store_objects.hpp>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <cstddef>
#include <string>

namespace galenabay::edge
{

/// Counters, gauges and histograms of an edge host. Thread-safe.
class edge_metrics
{
public:
    edge_metrics();
    edge_metrics(const edge_metrics&) = delete;
    edge_metrics& operator=(const edge_metrics&) = delete;

    prometheus::Counter& decisions(steer::steering_reason reason)
    {
        return *decisions_[static_cast<std::size_t>(reason)];
    }
    /// Flows that were reset without a packet of theirs: for `upstream_silent` or, for any other
    /// reason, because their upstream ended.
    prometheus::Counter& flow_resets(steer::steering_reason reason)
    {
        return reason == steer::steering_reason::upstream_silent ? *silent_resets_ : *ended_resets_;
    }
    prometheus::Counter& probes(steer::probe_result result) { return *probes_[static_cast<std::size_t>(result)]; }
    /// SYNs that other hosts passed on to this one, by whether it opened a flow by them.
    prometheus::Counter& received_syns(bool opened) { return opened ? *opened_syns_ : *unopened_syns_; }
    prometheus::Counter& warm_up_claims(steer::claim_result result)
    {
        return *warm_up_claims_[static_cast<std::size_t>(result)];
    }
    prometheus::Counter& store_calls(adapter::object_kind kind) { return *store_calls_[index(kind)]; }
    /// Checks whether the store serves this host, by result.
    prometheus::Counter& store_checks(bool is_served) { return is_served ? *served_checks_ : *failed_checks_; }
    prometheus::Counter& store_failures(adapter::object_kind kind) { return *store_failures_[index(kind)]; }

    /// Returns all values in the text format of Prometheus.
    std::string to_text() const;

private:
    static std::size_t index(adapter::object_kind kind) { return static_cast<std::size_t>(kind); }

    prometheus::Registry registry_;
    std::array<prometheus::Counter*, steer::steering_reason_count> decisions_{};
    prometheus::Counter* silent_resets_ = nullptr;
    prometheus::Counter* ended_resets_ = nullptr;
    std::array<prometheus::Counter*, 3> probes_{};
    std::array<prometheus::Counter*, steer::claim_result_count> warm_up_claims_{};
    prometheus::Counter* opened_syns_ = nullptr;
    prometheus::Counter* unopened_syns_ = nullptr;
    prometheus::Counter* served_checks_ = nullptr;
    prometheus::Counter* failed_checks_ = nullptr;
    std::array<prometheus::Counter*, adapter::object_kind_count> store_calls_{};
    std::array<prometheus::Counter*, adapter::object_kind_count> store_failures_{};

public:
    prometheus::Counter& resets;
    prometheus::Counter& malformed_packets;
    prometheus::Counter& send_failures;
    prometheus::Counter& refused_objects;
    prometheus::Counter& peer_messages;
    prometheus::Counter& peer_bytes_received;
    prometheus::Counter& peer_bytes_sent;
    prometheus::Counter& pauses;
    prometheus::Counter& thread_failures;
    prometheus::Gauge& version;
    prometheus::Gauge& upstreams;
    prometheus::Gauge& flows;
    prometheus::Gauge& ready;
    prometheus::Gauge& peers;
    prometheus::Gauge& follows_store;
    prometheus::Gauge& colliding_upstreams;
    prometheus::Gauge& store_unwatched;
    /// Seconds for which another host is known to have a newer configuration.
    prometheus::Gauge& configuration_behind;
    prometheus::Gauge& store_epoch;
    prometheus::Gauge& outdated_changes;
    /// Data centres that are evacuated, and the store revision as of which that is known.
    prometheus::Gauge& evacuated_data_centres;
    prometheus::Gauge& evacuations_revision;
    /// New flows for which upstreams of this host's data centre were left out.
    prometheus::Counter& evacuated_flows;
    /// Other data centres whose upstreams do not answer this host.
    prometheus::Gauge& silent_data_centres;
    /// New flows sent to such a data centre to find out whether it answers again.
    prometheus::Counter& trial_flows;
    /// Flows that upstreams ended at once by a short answer.
    prometheus::Counter& rejected_flows;
    /// Retransmitted SYNs that stayed on their upstream for lack of room on others.
    prometheus::Counter& limited_retries;
    /// Upstreams that get new flows although weak evidence speaks against them.
    prometheus::Gauge& ignored_evidence;
    /// Upstreams that take new flows, but not of this host: it avoids them.
    prometheus::Gauge& avoided_upstreams;
    prometheus::Gauge& usable_upstreams;
    /// Upstreams that lost half of their capacity by their answer times.
    prometheus::Gauge& slow_upstreams;
    prometheus::Gauge& starting_upstreams;
    /// Starting upstreams of which this host has a share, and shares that it got by a message.
    prometheus::Gauge& warm_up_shares;
    prometheus::Counter& relayed_syns;
    prometheus::Counter& adopted_shares;
    prometheus::Gauge& collects;
    /// Hosts whose loads this host's selection of upstreams takes into account.
    prometheus::Gauge& covered_hosts;
    /// Open requests per slot, by service with admission.
    prometheus::Family<prometheus::Gauge>& service_occupancy;
    /// Share of the new flows that is admitted, by service and urgency.
    prometheus::Family<prometheus::Gauge>& admitted_share;
    /// New flows refused for lack of room, by service and urgency.
    prometheus::Family<prometheus::Counter>& refused_flows;
    /// New flows refused for lack of room while slots were free by the latest sums, by service.
    prometheus::Family<prometheus::Counter>& refused_with_free_slots;
    /// Seconds from the arrival of a batch of packets to its last decision.
    prometheus::Histogram& handling_time;
    /// Seconds from the arrival of a change to its adoption by the packet thread.
    prometheus::Histogram& adoption_time;
};

} // namespace galenabay::edge
