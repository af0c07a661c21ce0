#include "large_set.hpp"

#include <string>

namespace galenabay::bench
{

namespace
{

constexpr std::uint32_t data_centres = 8;
constexpr std::uint32_t service_network = 0xC6120000U;  // 198.18.0.0
constexpr std::uint32_t upstream_network = 0x0A000000U; // 10.0.0.0

config::service_set make_set(std::uint32_t services, std::uint32_t upstreams)
{
    config::service_set set{"fleet", {}};
    for (std::uint32_t i = 0; i < services; ++i)
    {
        config::service built;
        built.name = "service-" + std::to_string(10'000 + i);
        built.kind = config::service_kind::coap;
        built.address = base::endpoint::make_v4(service_network + i, 5683);
        set.services.push_back(built);
    }
    for (std::uint32_t i = 0; i < upstreams; ++i)
    {
        config::upstream target;
        target.name = "upstream-" + std::to_string(10'000 + i);
        target.endpoint = base::endpoint::make_v4(upstream_network + i, 5683);
        target.data_centre = "data-centre-" + std::to_string(i % data_centres);
        set.services[i % services].upstreams.push_back(target);
    }
    return set;
}

} // namespace

config::service_set make_large_set()
{
    return make_set(target_services, target_upstreams);
}

config::service_set make_small_set()
{
    return make_set(2, 18);
}

} // namespace galenabay::bench
