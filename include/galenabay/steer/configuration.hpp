#pragma once

#include <galenabay/base/time.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace galenabay::steer
{

/// A service with its share of a route's new flows. Plain value.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;

    friend auto operator<=>(const weighted_service&, const weighted_service&) = default;
};

/// Where new flows to one service address and port go. Plain value.
struct service_route
{
    std::string name;
    /// IPv4, host byte order.
    std::uint32_t address = 0;
    std::uint16_t port = 0;
    std::vector<weighted_service> services;

    friend auto operator<=>(const service_route&, const service_route&) = default;
};

/// One accepted version of the configuration, as far as steering needs it.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<service_route> routes;
    /// A flow without packets for this long may be forgotten.
    base::duration idle_timeout = std::chrono::seconds{15};

    friend auto operator<=>(const configuration&, const configuration&) = default;
};

} // namespace galenabay::steer
