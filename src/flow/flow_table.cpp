#include "flow_table.hpp"

#include <galenabay/base/invariant.hpp>

#include <algorithm>

namespace galenabay::flow
{

flow_table::flow_table(std::size_t capacity) : buckets_(std::max<std::size_t>(1, (capacity + ways - 1) / ways))
{
    static_assert(sizeof(flow_entry) == 16);
}

flow_table::bucket& flow_table::bucket_of(std::uint64_t key) noexcept
{
    return buckets_[((key >> 32) * buckets_.size()) >> 32];
}

flow_entry* flow_table::find(std::uint64_t key) noexcept
{
    bucket& target = bucket_of(key);
    for (std::size_t way = 0; way < ways; ++way)
    {
        if (target.keys[way] == key)
        {
            return &target.entries[way];
        }
    }
    return nullptr;
}

std::size_t flow_table::longest_idle(const bucket& target, bool established, coarse_time now) const noexcept
{
    std::size_t found = ways;
    base::duration longest{-1};
    for (std::size_t way = 0; way < ways; ++way)
    {
        const auto& entry = target.entries[way];
        if (const auto idle_time = now.since(entry.last_seen);
            target.keys[way] != no_key && (entry.established != 0) == established && idle_time > longest)
        {
            longest = idle_time;
            found = way;
        }
    }
    GALENABAY_INVARIANT(found < ways);
    return found;
}

flow_entry& flow_table::assign(bucket& target, std::size_t way, std::uint64_t key, coarse_time now) noexcept
{
    GALENABAY_INVARIANT(key != no_key);
    target.keys[way] = key;
    target.entries[way] = flow_entry{};
    target.entries[way].first_seen = now;
    target.entries[way].last_seen = now;
    target.entries[way].confirmed = now;
    return target.entries[way];
}

void flow_table::touch(std::uint64_t key, flow_entry& entry, base::time_point now) noexcept
{
    entry.last_seen = coarse_time::of(now);
    if (entry.established == 0 && entry.last_seen.since(entry.first_seen) >= probation)
    {
        establish(key, entry);
    }
}

void flow_table::establish(std::uint64_t key, flow_entry& entry) noexcept
{
    if (entry.established != 0)
    {
        return;
    }
    bucket& target = bucket_of(key);
    std::size_t established = 0;
    for (std::size_t way = 0; way < ways; ++way)
    {
        established += target.keys[way] != no_key && target.entries[way].established != 0 ? 1 : 0;
    }
    if (established + probation_ways >= ways)
    {
        target.entries[longest_idle(target, true, entry.last_seen)].established = 0;
    }
    entry.established = 1;
}

void flow_table::erase(std::uint64_t key) noexcept
{
    bucket& target = bucket_of(key);
    for (std::size_t way = 0; way < ways; ++way)
    {
        if (target.keys[way] == key)
        {
            target.keys[way] = no_key;
            --size_;
        }
    }
}

} // namespace galenabay::flow
