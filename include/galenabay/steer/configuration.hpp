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

    friend auto operator<=>(const service_route&, const service_route&) = default;
};

/// The part of one accepted configuration version that steering uses. Plain value.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<service_route> routes;
    /// Time without packets after which a flow may be discarded.
    base::duration idle_timeout = std::chrono::seconds{15};

    friend auto operator<=>(const configuration&, const configuration&) = default;
};

} // namespace galenabay::steer
