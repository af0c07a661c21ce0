#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/steer/configuration.hpp>

#include <compare>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace galenabay::steer
{

/// A service whose routes state different urgencies or an answer target. Plain value.
struct admitted_service
{
    std::string name;
    /// `service_key` of the name.
    std::uint64_t key = 0;
    /// Different urgencies of its routes, most urgent first; at most `max_urgency_ranks`.
    std::vector<std::uint32_t> urgencies;
    /// Shortest answer target of its routes; 0 when none states one.
    base::duration answer_target{0};

    friend auto operator<=>(const admitted_service&, const admitted_service&) = default;
};

/// Place of a new flow in the admission of its service. Plain value.
struct admission_class
{
    static constexpr std::uint32_t no_service = std::numeric_limits<std::uint32_t>::max();

    /// Index of the service in `admitted_services`; `no_service` when all its flows are admitted.
    std::uint32_t service = no_service;
    /// Rank of the route's urgency in the service; 0 is the most urgent.
    std::uint32_t rank = 0;

    friend auto operator<=>(const admission_class&, const admission_class&) = default;
};

/// Returns the services to which admission applies, ordered by name.
std::vector<admitted_service> admitted_services(const configuration& from);

/// Returns the place of the flows that a route sends to a service.
admission_class class_of(const std::vector<admitted_service>& services, const std::string& service,
                         std::uint32_t urgency);

} // namespace galenabay::steer
