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
    bucket& where = bucket_of(key);
    for (std::size_t way = 0; way < ways; ++way)
    {
        if (where.keys[way] == key)
        {
            return &where.entries[way];
        }
    }
    return nullptr;
}

std::size_t flow_table::longest_silent(const bucket& where, bool established, coarse_time now) const noexcept
{
    std::size_t found = ways;
    base::duration longest{-1};
    for (std::size_t way = 0; way < ways; ++way)
    {
        const auto& entry = where.entries[way];
        if (const auto silence = now.since(entry.last_seen);
            where.keys[way] != no_key && (entry.established != 0) == established && silence > longest)
        {
            longest = silence;
            found = way;
        }
    }
    GALENABAY_INVARIANT(found < ways);
    return found;
}

flow_entry& flow_table::put(bucket& where, std::size_t way, std::uint64_t key, coarse_time now) noexcept
{
    GALENABAY_INVARIANT(key != no_key);
    where.keys[way] = key;
    where.entries[way] = flow_entry{};
    where.entries[way].first_seen = now;
    where.entries[way].last_seen = now;
    where.entries[way].confirmed = now;
    return where.entries[way];
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
    bucket& where = bucket_of(key);
    std::size_t established = 0;
    for (std::size_t way = 0; way < ways; ++way)
    {
        established += where.keys[way] != no_key && where.entries[way].established != 0 ? 1 : 0;
    }
    if (established + probation_ways >= ways)
    {
        where.entries[longest_silent(where, true, entry.last_seen)].established = 0;
    }
    entry.established = 1;
}

void flow_table::erase(std::uint64_t key) noexcept
{
    bucket& where = bucket_of(key);
    for (std::size_t way = 0; way < ways; ++way)
    {
        if (where.keys[way] == key)
        {
            where.keys[way] = no_key;
            --size_;
        }
    }
}

} // namespace galenabay::flow
