#include "upstream_choice.hpp"

#include <galenabay/base/hash.hpp>
#include <galenabay/base/invariant.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace galenabay::flow
{

namespace
{

/// Number of hashes kept on the stack; more upstreams need the heap.
constexpr std::size_t stack_hashes = 64;

} // namespace

void upstream_choice::add_version()
{
    GALENABAY_INVARIANT(versions_.size() < max_versions);
    versions_.emplace_back();
}

void upstream_choice::add(std::uint32_t upstream, std::uint64_t id, std::uint32_t weight)
{
    const auto known = std::find_if(candidates_.begin(), candidates_.end(),
                                    [&](const candidate& one) { return one.upstream == upstream; });
    const auto index = static_cast<std::uint32_t>(known - candidates_.begin());
    if (known == candidates_.end())
    {
        candidates_.push_back({upstream, id});
    }
    auto& current = versions_.back();
    current.equal_weights &= current.members.empty() || current.members.front().weight == weight;
    current.members.push_back({index, std::max<std::uint32_t>(1, weight)});
}

std::uint64_t upstream_choice::hash_of(const candidate& target, std::uint64_t key) noexcept
{
    return base::mix(target.id, key);
}

double upstream_choice::cost(std::uint64_t hash, std::uint32_t weight) noexcept
{
    // An exponential variate of rate `weight`. The probability that it is the
    // smallest of several is proportional to its weight.
    const double unit = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
    return -std::log(unit) / weight;
}

std::uint32_t upstream_choice::best_of(const version& table, std::span<const std::uint64_t> hashes) const noexcept
{
    std::uint32_t best = no_upstream_index;
    std::uint64_t highest = 0;
    double lowest = 0;
    for (const auto& [index, weight] : table.members)
    {
        // With equal weights the highest hash has the lowest cost, so the costs
        // need not be computed.
        const std::uint64_t rank = hashes[index] >> 11;
        const double candidate_cost = table.equal_weights ? 0 : cost(hashes[index], weight);
        const bool better = table.equal_weights ? rank > highest : candidate_cost < lowest;
        if (best == no_upstream_index || better)
        {
            best = candidates_[index].upstream;
            highest = rank;
            lowest = candidate_cost;
        }
    }
    return best;
}

bool upstream_choice::choose_all(std::uint64_t key, std::span<std::uint32_t> result) const
{
    std::array<std::uint64_t, stack_hashes> few;
    std::vector<std::uint64_t> many;
    std::span<std::uint64_t> hashes{few.data(), std::min(candidates_.size(), few.size())};
    if (candidates_.size() > few.size())
    {
        many.resize(candidates_.size());
        hashes = many;
    }
    for (std::size_t i = 0; i < candidates_.size(); ++i)
    {
        hashes[i] = hash_of(candidates_[i], key);
    }
    bool agree = true;
    for (std::size_t i = 0; i < versions_.size(); ++i)
    {
        result[i] = best_of(versions_[i], hashes);
        agree &= result[i] == result[0];
    }
    return agree;
}

} // namespace galenabay::flow
