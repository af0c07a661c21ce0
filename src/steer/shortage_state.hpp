#pragma once

#include "rejected_flows.hpp"
#include "retry_budget.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace galenabay::steer
{

/// What a host keeps of each service to recognise a lack of room and to act on it. Owned by the
/// `steerer`.
struct shortage_state
{
    struct service_state
    {
        answer_sizes sizes;
        retry_budget retries;
    };

    /// Bounded by the services of the configurations that were in force.
    std::unordered_map<std::string, service_state> services;
    std::uint64_t rejected_flows = 0;
    /// Retransmitted SYNs that `retry_budget` kept on their upstream.
    std::uint64_t limited_retries = 0;
};

} // namespace galenabay::steer
