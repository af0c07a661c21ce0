#pragma once

#include <galenabay/base/time.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace galenabay::steer
{

/// A service and the weight with which a route sends new flows to it. Plain value.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;

    friend auto operator<=>(const weighted_service&, const weighted_service&) = default;
};

/// The services that take the new flows to one address and port. Plain value.
struct service_route
{
    std::string name;
    /// IPv4, host byte order.
    std::uint32_t address = 0;
    std::uint16_t port = 0;
    std::vector<weighted_service> services;
    /// Order of service when there is too little room; 0 is the most urgent.
    std::uint32_t urgency = 0;
    /// Time within which callers want an answer; 0 when it is not stated.
    base::duration answer_target{0};

    friend auto operator<=>(const service_route&, const service_route&) = default;
};

/// What the configuration states of each upstream of a service. Plain value.
struct service_limits
{
    std::string service;
    /// Open flows that an upstream holds; 0 when it is not stated.
    std::uint32_t max_flows = 0;
    /// Time for which an upstream is slow after its start.
    base::duration warm_up_time{0};
    /// New flows a second that an upstream bears during that time; 0 when it is not stated.
    double warm_up_rate = 0;

    friend auto operator<=>(const service_limits&, const service_limits&) = default;
};

/// The part of one accepted configuration version that steering uses. Plain value.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<service_route> routes;
    /// Time without packets after which a flow may be discarded.
    base::duration idle_timeout = std::chrono::seconds{15};
    std::vector<service_limits> limits{};

    friend auto operator<=>(const configuration&, const configuration&) = default;
};

} // namespace galenabay::steer
