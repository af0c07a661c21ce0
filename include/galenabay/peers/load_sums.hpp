#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/peers/host_status.hpp>
#include <galenabay/steer/store_revision.hpp>

#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenabay::peers
{

/// A host and the address at which it receives the messages of other hosts. Plain value.
struct member
{
    std::string name;
    base::endpoint address;
    std::string data_centre;

    friend auto operator<=>(const member&, const member&) = default;
};

/// Number of hosts whose own evidence speaks against an upstream. Plain value.
struct upstream_votes
{
    steer::upstream_token token = 0;
    /// Hosts that report the upstream as silent.
    std::uint32_t silent = 0;
    /// Hosts that could not connect to it.
    std::uint32_t unreachable = 0;

    friend auto operator<=>(const upstream_votes&, const upstream_votes&) = default;
};

using vote_totals = std::unordered_map<steer::upstream_token, upstream_votes>;

/// All loads on the upstreams with tokens from `first` to `last`, inclusive. A token in that
/// range that is not listed has no load. Plain value.
struct load_page
{
    steer::upstream_token first = 0;
    steer::upstream_token last = std::numeric_limits<steer::upstream_token>::max();
    std::vector<upstream_load> loads;

    friend auto operator<=>(const load_page&, const load_page&) = default;
};

/// Sender of a summary or a digest. Plain value.
struct collector_stamp
{
    member sender;
    /// As in `host_status`.
    std::uint64_t started_us = 0;
    /// Increases with each summary and each digest that the process sends.
    std::uint64_t sequence = 0;
    /// Hosts whose loads the collector knows, itself included.
    std::uint32_t hosts = 0;

    friend auto operator<=>(const collector_stamp&, const collector_stamp&) = default;
};

/// Loads and votes of one data centre's hosts, sent to a collector of another data centre.
/// Plain value.
struct load_summary
{
    collector_stamp collector;
    /// A live host of the data centre watches the store.
    bool follows_store = false;
    /// What the collector itself has applied, as in `host_status`.
    std::uint64_t configuration_version = 0;
    steer::store_revision upstreams_revision;
    load_page page;
    std::vector<upstream_votes> votes;
    /// Passed on by a host that does not collect; not passed on again.
    bool relayed = false;
    /// As in `host_status`.
    std::optional<steer::evacuation_set> evacuations{};
    /// Demand of the data centre.
    steer::demand_sum demands{};

    friend auto operator<=>(const load_summary&, const load_summary&) = default;
};

/// Loads of all data centres and votes of the other ones, sent to the hosts of the
/// collector's data centre. Plain value.
struct load_digest
{
    collector_stamp collector;
    /// Live hosts of the other data centres.
    std::uint32_t remote_hosts = 0;
    load_page page;
    std::vector<upstream_votes> remote_votes;
    /// Some live hosts of the data centre, so that each host learns of all of them.
    std::vector<member> members;
    /// As in `host_status`.
    std::optional<steer::evacuation_set> evacuations{};
    /// Demand of the collector's data centre, and of all other ones.
    steer::demand_sum local_demands{};
    steer::demand_sum remote_demands{};

    friend auto operator<=>(const load_digest&, const load_digest&) = default;
};

/// Hosts that the sender knows, in answer to a host that joins. Plain value.
struct member_list
{
    std::vector<member> members;

    friend auto operator<=>(const member_list&, const member_list&) = default;
};

} // namespace galenabay::peers
