#pragma once

#include <platform/configuration_draft.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenabay::inspect
{

/// Upstreams of a service that can take new flows. Plain value.
struct service_capacity
{
    std::size_t upstreams = 0;
    /// Fewest requests that one of them processes at once.
    std::uint32_t fewest_slots = 0;

    friend auto operator<=>(const service_capacity&, const service_capacity&) = default;
};

/// What a configuration is checked against. Plain value.
struct check_context
{
    /// The configuration in force.
    std::optional<adapter::configuration_draft> in_force{};
    /// Upstreams of each service; empty when they are not known.
    std::optional<std::map<std::string, service_capacity>> capacities{};

    friend auto operator<=>(const check_context&, const check_context&) = default;
};

/// Result of a check. Plain value.
struct check_report
{
    /// What hosts refuse, what can never have an effect and what contradicts itself.
    std::vector<adapter::draft_fault> findings;
    /// What differs from the configuration in force, in its order.
    std::vector<std::string> differences;

    friend auto operator<=>(const check_report&, const check_report&) = default;
};

/// Checks a configuration before it is sent.
check_report check_configuration(const adapter::configuration_draft& draft, const check_context& context);

/// Returns the lines that `galenactl check` prints.
std::vector<std::string> describe(const check_report& report);
/// Returns the report as a JSON object with the lists `findings` and `differences`.
std::string to_json(const check_report& report);

} // namespace galenabay::inspect
