#include <galenabay/steer/service_demand.hpp>

#include <galenabay/base/hash.hpp>

#include <algorithm>

namespace galenabay::steer
{

namespace
{

bool is_before(const service_demand& row, std::uint64_t service)
{
    return row.service < service;
}

} // namespace

std::uint64_t service_key(std::string_view name) noexcept
{
    return base::hash_text(name);
}

bool is_idle(const service_demand& demand)
{
    return demand.open_requests == 0 && demand.admitted == 0 && demand.rejected == 0 &&
           std::all_of(demand.offered.begin(), demand.offered.end(), [](std::uint32_t rate) { return rate == 0; });
}

void demand_sum::add(const service_demand& demand)
{
    auto row = std::lower_bound(services.begin(), services.end(), demand.service, is_before);
    if (row == services.end() || row->service != demand.service)
    {
        row = services.insert(row, {.service = demand.service, .offered = {}});
    }
    row->open_requests += demand.open_requests;
    row->admitted += demand.admitted;
    row->rejected += demand.rejected;
    row->offered.resize(std::max(row->offered.size(), demand.offered.size()));
    for (std::size_t rank = 0; rank < demand.offered.size(); ++rank)
    {
        row->offered[rank] += demand.offered[rank];
    }
}

void demand_sum::add(const demand_sum& other)
{
    for (const auto& demand : other.services)
    {
        add(demand);
    }
    age = std::max(age, other.age);
}

const service_demand* demand_sum::find(std::uint64_t service) const
{
    const auto row = std::lower_bound(services.begin(), services.end(), service, is_before);
    return row == services.end() || row->service != service ? nullptr : &*row;
}

demand_sum fleet_demand::total() const
{
    auto sum = local;
    sum.add(remote);
    return sum;
}

} // namespace galenabay::steer
