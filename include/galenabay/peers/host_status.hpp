#pragma once

#include <galenabay/steer/answer_time.hpp>
#include <galenabay/steer/evacuations.hpp>
#include <galenabay/steer/packet_header.hpp>
#include <galenabay/steer/service_demand.hpp>
#include <galenabay/steer/store_revision.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace galenabay::peers
{

using steer::service_demand;

/// Load of one host's flows on an upstream. Plain value.
struct upstream_load
{
    steer::upstream_token token = 0;
    std::uint32_t flows = 0;
    std::uint32_t open_requests = 0;
    /// Time since one of the host's flows last showed an answer from the upstream.
    std::chrono::milliseconds answered_ago{0};
    /// Answer times of recent requests; empty when there are none or they are not used.
    steer::answer_time_sum answer_times{};

    friend auto operator<=>(const upstream_load&, const upstream_load&) = default;
};

/// Status that a host sends to the other hosts of its data centre. Plain value.
struct host_status
{
    std::string name;
    /// Start of the process in microseconds of Unix time; larger after each restart unless
    /// the time of day is set back.
    std::uint64_t started_us = 0;
    /// Increases with each status that the process sends.
    std::uint64_t sequence = 0;
    std::string data_centre;
    /// The host watches the store, and its last calls succeeded.
    bool follows_store = false;
    /// The store turned away the host's last call, and the host knows no other one that watches the store.
    bool store_lost = false;
    /// The host is about to stop.
    bool leaving = false;
    /// Version of the configuration in force; 0 for none.
    std::uint64_t configuration_version = 0;
    /// Store revision of the last change of the upstreams that the host applied.
    steer::store_revision upstreams_revision;
    /// Digest of the upstreams that the host knows; 0 for none.
    std::uint64_t upstreams_digest = 0;
    /// `loads` is filled. Only the collectors of the data centre receive it, because it is many
    /// times larger than the rest.
    bool with_loads = false;
    std::vector<upstream_load> loads;
    /// Upstreams that do not answer by the host's own evidence.
    std::vector<steer::upstream_token> silent;
    /// Upstreams that the host recently failed to connect to.
    std::vector<steer::upstream_token> unreachable;
    /// The host looks for others: who receives this answers with the hosts that it knows.
    bool joining = false;
    /// Time until the host's next status; zero when unknown.
    std::chrono::milliseconds interval{0};
    /// The set that the host adopted last; empty where data centres are not evacuated.
    std::optional<steer::evacuation_set> evacuations{};
    /// Demand for the services with admission that have traffic, ordered by service; with the loads only.
    std::vector<service_demand> demands{};

    friend auto operator<=>(const host_status&, const host_status&) = default;
};

} // namespace galenabay::peers
