#include "host_ranking.hpp"

#include <galenabay/base/hash.hpp>
#include <galenabay/membership/rendezvous.hpp>

#include <algorithm>

namespace galenabay::flow
{

bool host_ranking::set_hosts(std::span<const membership::live_host> hosts, const std::string& self)
{
    const bool same = std::equal(hosts.begin(), hosts.end(), hosts_.begin(), hosts_.end(),
                                 [](const auto& a, const auto& b) { return a.name == b.name; });
    hosts_.assign(hosts.begin(), hosts.end());
    if (same)
    {
        return false;
    }
    groups_.clear();
    all_.clear();
    self_ = hosts_.size();
    std::uint64_t hash = 1;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        all_.push_back(i);
        hash = base::mix(hash, hosts_[i].id);
        if (hosts_[i].name == self)
        {
            self_ = i;
        }
    }
    set_hash_ = static_cast<std::uint16_t>(hash);
    return true;
}

const std::vector<std::size_t>& host_ranking::group(config::service_id service) const
{
    if (hosts_.size() <= max_group)
    {
        return all_;
    }
    const auto [found, added] = groups_.try_emplace(service);
    if (added)
    {
        found->second = membership::rank_hosts(hosts_, service, max_group);
    }
    return found->second;
}

std::uint64_t host_ranking::weight(std::size_t host, std::uint64_t key) const noexcept
{
    return base::mix(hosts_[host].id, key);
}

std::optional<std::size_t> host_ranking::first(config::service_id service, std::uint64_t key) const
{
    std::optional<std::size_t> best;
    for (const auto host : group(service))
    {
        if (!best || weight(host, key) > weight(*best, key))
        {
            best = host;
        }
    }
    return best && is_self(*best) ? std::nullopt : best;
}

std::optional<std::size_t> host_ranking::next(config::service_id service, std::uint64_t key) const
{
    const auto& members = group(service);
    if (std::find(members.begin(), members.end(), self_) == members.end())
    {
        return first(service, key);
    }
    const auto own = weight(self_, key);
    std::optional<std::size_t> best;
    for (const auto host : members)
    {
        const auto candidate = weight(host, key);
        if (candidate < own && (!best || candidate > weight(*best, key)))
        {
            best = host;
        }
    }
    return best;
}

std::size_t host_ranking::position(config::service_id service, std::uint64_t key) const
{
    if (self_ >= hosts_.size())
    {
        return hosts_.size();
    }
    const auto own = weight(self_, key);
    const auto& members = group(service);
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](std::size_t host) { return weight(host, key) > own; }));
}

bool host_ranking::keeps_records(std::size_t host, config::service_id service, std::uint64_t key) const
{
    std::size_t heavier = 0;
    bool member = false;
    const auto own = weight(host, key);
    for (const auto other : group(service))
    {
        member |= other == host;
        heavier += weight(other, key) > own ? 1 : 0;
    }
    return member && heavier < 2;
}

bool host_ranking::self_keeps_records(config::service_id service, std::uint64_t key) const
{
    return self_ < hosts_.size() && keeps_records(self_, service, key);
}

} // namespace galenabay::flow
