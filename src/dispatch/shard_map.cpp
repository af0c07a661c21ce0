#include "shard_map.hpp"

#include <galenabay/base/hash.hpp>

#include <algorithm>
#include <cmath>

namespace galenabay::dispatch
{

namespace
{

constexpr double unit_per_step = 0x1.0p-53;

/// Maps a hash to a number that is uniform in (0, 1].
double to_unit_interval(std::uint64_t hash)
{
    return (static_cast<double>(hash >> 11) + 1.0) * unit_per_step;
}

const std::string& owner_of(const config::upstream& target, std::span<const std::string> data_centres)
{
    if (const auto own = std::find(data_centres.begin(), data_centres.end(), target.data_centre);
        own != data_centres.end())
    {
        return *own;
    }
    const std::uint64_t key = base::hash_endpoint(target.endpoint);
    const auto weight = [key](const std::string& name) { return base::mix(base::hash_text(name), key); };
    return *std::max_element(data_centres.begin(), data_centres.end(),
                             [&](const auto& a, const auto& b) { return weight(a) < weight(b); });
}

} // namespace

shard_map shard_map::make(const std::vector<config::upstream>& upstreams, std::span<const std::string> data_centres)
{
    shard_map result;
    if (data_centres.empty())
    {
        return result;
    }
    for (const auto& target : upstreams)
    {
        const std::string& owner = owner_of(target, data_centres);
        auto place = std::find_if(result.shards_.begin(), result.shards_.end(),
                                  [&](const shard& s) { return s.data_centre == owner; });
        if (place == result.shards_.end())
        {
            result.shards_.push_back(shard{owner, 0, {}});
            place = std::prev(result.shards_.end());
        }
        place->slots += target.draining ? 0 : target.slots;
        place->upstreams.push_back(target);
    }
    std::erase_if(result.shards_, [](const shard& s) { return s.slots == 0; });
    std::sort(result.shards_.begin(), result.shards_.end());
    return result;
}

const shard* shard_map::home(std::uint64_t routing) const noexcept
{
    const shard* best = nullptr;
    double best_score = 0;
    for (const auto& candidate : shards_)
    {
        const std::uint64_t hash = base::mix(base::hash_text(candidate.data_centre), routing);
        const double score = -std::log(to_unit_interval(hash)) / candidate.slots;
        if (best == nullptr || score < best_score)
        {
            best = &candidate;
            best_score = score;
        }
    }
    return best;
}

const shard* shard_map::find(const std::string& data_centre) const noexcept
{
    const auto place =
        std::find_if(shards_.begin(), shards_.end(), [&](const shard& s) { return s.data_centre == data_centre; });
    return place == shards_.end() ? nullptr : &*place;
}

} // namespace galenabay::dispatch
