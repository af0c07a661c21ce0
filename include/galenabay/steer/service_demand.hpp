#pragma once

#include <galenabay/base/time.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace galenabay::steer
{

/// Rates in a `service_demand` are in sixteenths of a flow per second: a host may have less than
/// one new flow of a service in a second, and whole numbers would lose it in each host's report.
constexpr double rate_unit = 16;
/// Urgencies of a service that are told apart; those beyond count as the last one.
constexpr std::size_t max_urgency_ranks = 8;

/// Load of one service through one host, or the sum over several. Plain value.
struct service_demand
{
    /// `service_key` of the service's name.
    std::uint64_t service = 0;
    std::uint32_t open_requests = 0;
    /// New flows that were forwarded, and flows that upstreams rejected, in units of `rate_unit`.
    std::uint32_t admitted = 0;
    std::uint32_t rejected = 0;
    /// New flows by rank of their route's urgency in the service, most urgent first, in units
    /// of `rate_unit`. Those that were refused are included.
    std::vector<std::uint32_t> offered;

    friend auto operator<=>(const service_demand&, const service_demand&) = default;
};

/// Returns the number by which messages name a service; the same on every host.
std::uint64_t service_key(std::string_view name) noexcept;

/// Returns true when the service has no traffic, so that nothing is reported for it.
bool is_idle(const service_demand& demand);

/// Sum of the demands of several hosts. Plain value.
struct demand_sum
{
    /// Ordered by service; services without traffic are absent.
    std::vector<service_demand> services;
    /// Age of the oldest report in the sum.
    base::duration age{0};

    /// Adds one host's demand.
    void add(const service_demand& demand);
    /// Adds all demands of another sum; the age is that of the older one.
    void add(const demand_sum& other);
    /// Returns null when the service has no traffic.
    const service_demand* find(std::uint64_t service) const;

    friend auto operator<=>(const demand_sum&, const demand_sum&) = default;
};

/// What a host knows of the demand of all hosts, itself included. Plain value.
struct fleet_demand
{
    /// Sum of this host's data centre, and of all other ones that are in touch with it.
    demand_sum local;
    demand_sum remote;
    /// Hosts that the sums add up.
    std::uint32_t hosts = 0;
    /// Time since the sums arrived; zero on a collector, which adds them up itself.
    base::duration received_ago{0};

    /// Returns the sum of all data centres.
    demand_sum total() const;

    friend auto operator<=>(const fleet_demand&, const fleet_demand&) = default;
};

} // namespace galenabay::steer
