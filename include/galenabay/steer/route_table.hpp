#pragma once

#include <galenabay/base/random.hpp>
#include <galenabay/steer/admission_plan.hpp>
#include <galenabay/steer/configuration.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace galenabay::steer
{

/// Maps an address and port to the services that take its new flows. Adopts only
/// newer versions. Not thread-safe; owned by the `steerer`.
class route_table
{
public:
    /// Replaces the routes by those of `next`. Returns false, and changes nothing, when
    /// `next` is not newer than the version in force.
    bool adopt(const configuration& next);

    /// Version in force; 0 before the first one.
    std::uint64_t version() const noexcept { return version_; }
    base::duration idle_timeout() const noexcept { return idle_timeout_; }
    std::size_t size() const noexcept { return routes_.size(); }

    /// Service of a new flow and what its route states.
    struct route_choice
    {
        /// Null when there is no route.
        const std::string* service = nullptr;
        std::uint32_t urgency = 0;
        base::duration answer_target{0};
        admission_class admission{};
    };

    /// Selects a service at random by the route's weights.
    route_choice select(std::uint32_t address, std::uint16_t port, base::random_source& random) const;
    /// Selects the service whose name has the hash `key`; null when the route does not name it.
    route_choice find(std::uint32_t address, std::uint16_t port, std::uint64_t key) const;
    /// The services to which admission applies; `route_choice::admission` refers to them.
    const std::vector<admitted_service>& admitted() const noexcept { return admitted_; }
    /// Returns what the configuration states of a service's upstreams.
    const service_limits& limits_of(const std::string& service) const;
    /// Returns true when a service states a rate of new flows to its starting upstreams.
    bool has_warm_up_rates() const noexcept { return has_warm_up_rates_; }
    /// Returns true when an earlier version had a route that the version in force lacks.
    bool was_removed(std::uint32_t address, std::uint16_t port) const;

private:
    struct known_route
    {
        service_route route;
        /// Of each of the route's services.
        std::vector<admission_class> admissions;
    };

    static route_choice choice_of(const known_route& known, std::size_t part);
    static std::uint64_t key_of(std::uint32_t address, std::uint16_t port)
    {
        return (std::uint64_t{address} << 16U) | port;
    }

    std::uint64_t version_ = 0;
    base::duration idle_timeout_{0};
    std::unordered_map<std::uint64_t, known_route> routes_;
    std::vector<admitted_service> admitted_;
    std::unordered_map<std::string, service_limits> limits_;
    bool has_warm_up_rates_ = false;
    std::unordered_set<std::uint64_t> removed_;
};

} // namespace galenabay::steer
