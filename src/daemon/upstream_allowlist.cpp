#include "upstream_allowlist.hpp"

#include <galenabay/base/hash.hpp>

namespace galenabay::daemon
{

namespace
{

/// Placeholder for the service in the keys of (address, upstream) pairs.
constexpr config::service_id any_service = 0;

std::uint64_t triple_key(config::service_id service, const base::endpoint& address, const base::endpoint& upstream)
{
    return base::hash_endpoint(upstream, base::hash_endpoint(address, service));
}

} // namespace

upstream_allowlist::upstream_allowlist(const config::accepted_revision& revision)
{
    for (const auto& service : revision.set.services)
    {
        add_all(service.id(), service.address, service.upstreams);
        if (const auto found = revision.lineage.find(service.name); found != revision.lineage.end())
        {
            for (const auto& generation : found->second)
            {
                add_all(service.id(), service.address, generation.upstreams);
            }
        }
    }
    for (const auto& [name, generations] : revision.lineage)
    {
        for (const auto& generation : generations)
        {
            add_all(base::hash_text(name), generation.address, generation.upstreams);
        }
    }
}

void upstream_allowlist::add_all(config::service_id service, const base::endpoint& address,
                                 const std::vector<config::upstream>& upstreams)
{
    for (const auto& upstream : upstreams)
    {
        triples_.insert(triple_key(service, address, upstream.endpoint));
        pairs_.insert(triple_key(any_service, address, upstream.endpoint));
    }
}

bool upstream_allowlist::allows(config::service_id service, const base::endpoint& address,
                                const base::endpoint& upstream) const
{
    return triples_.contains(triple_key(service, address, upstream));
}

bool upstream_allowlist::allows_any(const base::endpoint& address, const base::endpoint& upstream) const
{
    return pairs_.contains(triple_key(any_service, address, upstream));
}

} // namespace galenabay::daemon
