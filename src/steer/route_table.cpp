#include <galenabay/steer/route_table.hpp>

#include <galenabay/steer/service_demand.hpp>

#include <cstddef>
#include <utility>

namespace galenabay::steer
{

bool route_table::adopt(const configuration& next)
{
    if (next.version <= version_)
    {
        return false;
    }
    auto admitted = admitted_services(next);
    std::unordered_map<std::uint64_t, known_route> routes;
    routes.reserve(next.routes.size());
    for (const auto& route : next.routes)
    {
        auto& known = routes[key_of(route.address, route.port)];
        known = {.route = route, .admissions = {}};
        for (const auto& part : route.services)
        {
            known.admissions.push_back(class_of(admitted, part.service, route.urgency));
        }
    }
    for (const auto& [key, known] : routes_)
    {
        if (!routes.contains(key))
        {
            removed_.insert(key);
        }
    }
    std::erase_if(removed_, [&](std::uint64_t key) { return routes.contains(key); });
    routes_ = std::move(routes);
    admitted_ = std::move(admitted);
    limits_.clear();
    has_warm_up_rates_ = false;
    for (const auto& limits : next.limits)
    {
        limits_[limits.service] = limits;
        has_warm_up_rates_ = has_warm_up_rates_ || limits.warm_up_rate > 0;
    }
    version_ = next.version;
    idle_timeout_ = next.idle_timeout;
    return true;
}

const service_limits& route_table::limits_of(const std::string& service) const
{
    static const service_limits none;
    const auto known = limits_.find(service);
    return known == limits_.end() ? none : known->second;
}

route_table::route_choice route_table::select(std::uint32_t address, std::uint16_t port,
                                              base::random_source& random) const
{
    const auto found = routes_.find(key_of(address, port));
    if (found == routes_.end())
    {
        return {};
    }
    const auto& route = found->second.route;
    std::uint64_t total = 0;
    for (const auto& part : route.services)
    {
        total += part.weight;
    }
    auto position = random.below(total);
    for (std::size_t i = 0; i < route.services.size(); ++i)
    {
        const auto& part = route.services[i];
        if (position < part.weight)
        {
            return choice_of(found->second, i);
        }
        position -= part.weight;
    }
    return {};
}

route_table::route_choice route_table::choice_of(const known_route& known, std::size_t part)
{
    return {.service = &known.route.services[part].service,
            .urgency = known.route.urgency,
            .answer_target = known.route.answer_target,
            .admission = known.admissions[part]};
}

route_table::route_choice route_table::find(std::uint32_t address, std::uint16_t port, std::uint64_t key) const
{
    const auto found = routes_.find(key_of(address, port));
    if (found == routes_.end())
    {
        return {};
    }
    const auto& services = found->second.route.services;
    for (std::size_t i = 0; i < services.size(); ++i)
    {
        if (services[i].weight > 0 && service_key(services[i].service) == key)
        {
            return choice_of(found->second, i);
        }
    }
    return {};
}

bool route_table::was_removed(std::uint32_t address, std::uint16_t port) const
{
    return removed_.contains(key_of(address, port));
}

} // namespace galenabay::steer
