#include "simulated_partition.hpp"

#include <fstream>

namespace galenabay::daemon
{

namespace
{

constexpr std::size_t max_names = 64;

} // namespace

simulated_partition simulated_partition::read(const std::string& file)
{
    simulated_partition result;
    if (file.empty())
    {
        return result;
    }
    std::ifstream in{file};
    for (std::string line; result.names_.size() < max_names && std::getline(in, line);)
    {
        if (!line.empty())
        {
            result.names_.insert(line);
        }
    }
    return result;
}

std::shared_ptr<const blocked_addresses> simulated_partition::addresses(std::span<const membership::listed_host> hosts,
                                                                        const config::accepted_revision* revision) const
{
    auto result = std::make_shared<blocked_addresses>();
    for (const auto& host : hosts)
    {
        if (has(host.data_centre))
        {
            result->insert(host.relay.address_string());
        }
    }
    if (revision == nullptr || names_.empty())
    {
        return result;
    }
    for (const auto& service : revision->set.services)
    {
        for (const auto& upstream : service.upstreams)
        {
            if (has(upstream.data_centre))
            {
                result->insert(upstream.endpoint.address_string());
            }
        }
    }
    return result;
}

} // namespace galenabay::daemon
