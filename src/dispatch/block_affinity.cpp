#include "block_affinity.hpp"

#include <cstddef>

namespace galenabay::dispatch
{

namespace
{

constexpr std::size_t max_transfers = 1U << 17U;

} // namespace

void block_affinity::record(std::uint64_t transfer, config::upstream_id upstream, base::time_point now)
{
    entry& known = entries_[transfer];
    const bool is_first = known.upstream == 0 || now - known.last_used >= active_span_;
    known.upstream = is_first || known.upstream == upstream ? upstream : 0;
    known.last_used = now;
    order_.push_back({transfer, now});
}

std::optional<config::upstream_id> block_affinity::find(std::uint64_t transfer) const
{
    const auto place = entries_.find(transfer);
    const bool is_known = place != entries_.end() && place->second.upstream != 0;
    return is_known ? std::optional{place->second.upstream} : std::nullopt;
}

void block_affinity::on_later_block(std::uint64_t transfer, base::time_point now)
{
    if (const auto place = entries_.find(transfer); place != entries_.end())
    {
        place->second.later_block_at = now;
    }
}

std::optional<config::upstream_id> block_affinity::preferred(std::uint64_t transfer, base::time_point now) const
{
    const auto place = entries_.find(transfer);
    const bool is_recent = place != entries_.end() && now - place->second.last_used < active_span_;
    return is_recent ? find(transfer) : std::nullopt;
}

bool block_affinity::is_active(std::uint64_t transfer, base::time_point now) const
{
    const auto place = entries_.find(transfer);
    return place != entries_.end() && place->second.later_block_at &&
           now - *place->second.later_block_at < active_span_;
}

void block_affinity::clear()
{
    entries_.clear();
    order_.clear();
}

void block_affinity::on_tick(base::time_point now)
{
    while (!order_.empty() && (now - order_.front().at > retention_ || order_.size() > max_transfers))
    {
        const auto place = entries_.find(order_.front().transfer);
        if (place != entries_.end() && place->second.last_used <= order_.front().at)
        {
            entries_.erase(place);
        }
        order_.pop_front();
    }
}

} // namespace galenabay::dispatch
