#include "block_affinity.hpp"

#include <cstddef>

namespace galenabay::dispatch
{

namespace
{

constexpr std::size_t max_transfers = 1U << 17U;

} // namespace

void block_affinity::remember(std::uint64_t transfer, config::upstream_id upstream, base::time_point now)
{
    entries_[transfer] = {upstream, now};
    order_.push_back({transfer, now});
}

std::optional<config::upstream_id> block_affinity::find(std::uint64_t transfer) const
{
    const auto place = entries_.find(transfer);
    return place == entries_.end() ? std::nullopt : std::optional{place->second.upstream};
}

void block_affinity::on_tick(base::time_point now)
{
    while (!order_.empty() && (now - order_.front().at > memory_ || order_.size() > max_transfers))
    {
        const auto place = entries_.find(order_.front().transfer);
        if (place != entries_.end() && place->second.used <= order_.front().at)
        {
            entries_.erase(place);
        }
        order_.pop_front();
    }
}

} // namespace galenabay::dispatch
