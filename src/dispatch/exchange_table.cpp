#include "exchange_table.hpp"

#include <galenabay/base/invariant.hpp>

#include <algorithm>
#include <cstddef>

namespace galenabay::dispatch
{

namespace
{

/// Message ids kept per exchange. A duplicate of an answer is no longer
/// recognised after this many later ones.
constexpr std::size_t max_separate_ids = 32;

} // namespace

exchange_id exchange_table::id_of(const answer& arrived)
{
    return {arrived.upstream, arrived.service_address, arrived.caller, arrived.token, arrived.token_length};
}

void exchange_table::open(const exchange_id& id, request_key key, std::uint16_t message_id)
{
    exchange& entry = exchanges_[id];
    GALENABAY_INVARIANT(!entry.waiting);
    entry.waiting = key;
    entry.message_id = message_id;
}

void exchange_table::abandon(const exchange_id& id, base::time_point now)
{
    exchange& entry = exchanges_.at(id);
    entry.waiting.reset();
    entry.late_answer_until = now + retention_;
    mark_used(id, entry, now);
}

void exchange_table::close(const exchange_id& id, const answer& arrived, base::time_point now)
{
    exchange& entry = exchanges_.at(id);
    entry.waiting.reset();
    if (!arrived.piggybacked)
    {
        if (entry.separate_ids.size() >= max_separate_ids)
        {
            entry.separate_ids.erase(entry.separate_ids.begin());
        }
        entry.separate_ids.push_back(arrived.message_id);
    }
    mark_used(id, entry, now);
}

std::optional<request_key> exchange_table::match(const answer& arrived, base::time_point now) const
{
    const auto place = exchanges_.find(id_of(arrived));
    if (place == exchanges_.end() || !place->second.waiting)
    {
        return std::nullopt;
    }
    const exchange& entry = place->second;
    if (arrived.piggybacked)
    {
        return arrived.message_id == entry.message_id ? entry.waiting : std::nullopt;
    }
    const auto& seen = entry.separate_ids;
    const bool is_repeated = std::find(seen.begin(), seen.end(), arrived.message_id) != seen.end();
    return entry.late_answer_until > now || is_repeated ? std::nullopt : entry.waiting;
}

bool exchange_table::is_taken(const exchange_id& id, base::time_point now) const
{
    const auto place = exchanges_.find(id);
    return place != exchanges_.end() && (place->second.waiting || place->second.late_answer_until > now);
}

bool exchange_table::is_open(const exchange_id& id) const
{
    const auto place = exchanges_.find(id);
    return place != exchanges_.end() && place->second.waiting;
}

void exchange_table::mark_used(const exchange_id& id, exchange& entry, base::time_point now)
{
    entry.last_used = now;
    order_.push_back({id, now});
}

void exchange_table::on_tick(base::time_point now)
{
    while (!order_.empty() && now - order_.front().at > retention_)
    {
        const auto place = exchanges_.find(order_.front().id);
        if (place != exchanges_.end() && !place->second.waiting && now - place->second.last_used > retention_)
        {
            exchanges_.erase(place);
        }
        order_.pop_front();
    }
}

} // namespace galenabay::dispatch
