#include <galenabay/membership/rendezvous.hpp>

#include <galenabay/base/hash.hpp>
#include <galenabay/base/invariant.hpp>

#include <algorithm>

namespace galenabay::membership
{

std::vector<std::size_t> rank_hosts(std::span<const live_host> hosts, std::uint64_t key, std::size_t count)
{
    std::vector<std::size_t> order(hosts.size());
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        order[i] = i;
    }
    const auto heavier = [&](std::size_t a, std::size_t b)
    {
        const auto weight_a = base::mix(hosts[a].id, key);
        const auto weight_b = base::mix(hosts[b].id, key);
        return weight_a != weight_b ? weight_a > weight_b : hosts[a].name < hosts[b].name;
    };
    const std::size_t kept = std::min(count, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(kept), order.end(), heavier);
    order.resize(kept);
    return order;
}

std::size_t deciding_host(std::span<const live_host> hosts, std::uint64_t key)
{
    GALENABAY_INVARIANT(!hosts.empty());
    std::size_t best = 0;
    std::uint64_t best_weight = 0;
    for (std::size_t i = 0; i < hosts.size(); ++i)
    {
        const auto weight = base::mix(hosts[i].id, key);
        if (weight > best_weight || (weight == best_weight && hosts[i].name < hosts[best].name))
        {
            best = i;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace galenabay::membership
