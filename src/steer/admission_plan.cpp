#include <galenabay/steer/admission_plan.hpp>

#include <galenabay/steer/service_demand.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace galenabay::steer
{

namespace
{

/// What the routes of one service state.
struct stated_needs
{
    std::set<std::uint32_t> urgencies;
    base::duration answer_target{0};
};

void add(stated_needs& needs, const service_route& route)
{
    needs.urgencies.insert(route.urgency);
    if (route.answer_target > base::duration{0})
    {
        needs.answer_target = needs.answer_target == base::duration{0}
                                  ? route.answer_target
                                  : std::min(needs.answer_target, route.answer_target);
    }
}

} // namespace

std::vector<admitted_service> admitted_services(const configuration& from)
{
    std::map<std::string, stated_needs> by_service;
    for (const auto& route : from.routes)
    {
        for (const auto& part : route.services)
        {
            add(by_service[part.service], route);
        }
    }
    std::vector<admitted_service> services;
    for (const auto& [name, needs] : by_service)
    {
        if (needs.urgencies.size() > 1 || needs.answer_target > base::duration{0})
        {
            services.push_back({.name = name,
                                .key = service_key(name),
                                .urgencies = {needs.urgencies.begin(), needs.urgencies.end()},
                                .answer_target = needs.answer_target});
            auto& urgencies = services.back().urgencies;
            urgencies.resize(std::min(urgencies.size(), max_urgency_ranks));
        }
    }
    return services;
}

admission_class class_of(const std::vector<admitted_service>& services, const std::string& service,
                         std::uint32_t urgency)
{
    const auto found =
        std::lower_bound(services.begin(), services.end(), service,
                         [](const admitted_service& one, const std::string& name) { return one.name < name; });
    if (found == services.end() || found->name != service)
    {
        return {};
    }
    const auto& urgencies = found->urgencies;
    const auto rank = std::lower_bound(urgencies.begin(), urgencies.end(), urgency) - urgencies.begin();
    const auto last = static_cast<std::ptrdiff_t>(urgencies.size()) - 1;
    return {.service = static_cast<std::uint32_t>(found - services.begin()),
            .rank = static_cast<std::uint32_t>(std::min(rank, last))};
}

} // namespace galenabay::steer
