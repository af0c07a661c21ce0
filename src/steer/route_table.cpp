#include <galenabay/steer/route_table.hpp>

#include <utility>

namespace galenabay::steer
{

bool route_table::adopt(const configuration& next)
{
    if (next.version <= version_)
    {
        return false;
    }
    std::unordered_map<std::uint64_t, std::vector<weighted_service>> routes;
    routes.reserve(next.routes.size());
    for (const auto& route : next.routes)
    {
        routes[key_of(route.address, route.port)] = route.services;
    }
    for (const auto& [key, services] : routes_)
    {
        if (!routes.contains(key))
        {
            removed_.insert(key);
        }
    }
    std::erase_if(removed_, [&](std::uint64_t key) { return routes.contains(key); });
    routes_ = std::move(routes);
    version_ = next.version;
    idle_timeout_ = next.idle_timeout;
    return true;
}

const std::string* route_table::select_service(std::uint32_t address, std::uint16_t port,
                                               base::random_source& random) const
{
    const auto found = routes_.find(key_of(address, port));
    if (found == routes_.end())
    {
        return nullptr;
    }
    std::uint64_t total = 0;
    for (const auto& part : found->second)
    {
        total += part.weight;
    }
    auto position = random.below(total);
    for (const auto& part : found->second)
    {
        if (position < part.weight)
        {
            return &part.service;
        }
        position -= part.weight;
    }
    return nullptr;
}

bool route_table::was_removed(std::uint32_t address, std::uint16_t port) const
{
    return removed_.contains(key_of(address, port));
}

} // namespace galenabay::steer
