#include "feed_table.hpp"

#include <galenabay/base/hash.hpp>

namespace galenabay::stand_in
{

namespace
{

template <typename Feeds, typename Function>
void for_each_feed_of(Feeds& feeds, const base::endpoint& caller, Function function)
{
    for (auto at = feeds.lower_bound(feed_key{caller, 0, 0}); at != feeds.end() && at->first.caller == caller; ++at)
    {
        function(at->first, at->second);
    }
}

} // namespace

feed* feed_table::add(const feed_key& key, const origin& from, base::time_point now)
{
    if (const auto known = feeds_.find(key); known != feeds_.end())
    {
        known->second.from = from;
        known->second.unacknowledged_since = {};
        return &known->second;
    }
    if (feeds_.size() >= capacity_)
    {
        return nullptr;
    }
    feed& added = feeds_[key];
    added.from = from;
    // Mixed with the time, so that the value also differs after a restart.
    added.registration = base::mix(static_cast<std::uint64_t>(now.time_since_epoch().count()), ++last_registration_);
    added.due = now + interval_;
    schedule_.emplace(added.due, key);
    return &added;
}

void feed_table::remove(const feed_key& key)
{
    feeds_.erase(key);
}

void feed_table::on_caller_packet(const base::endpoint& caller, const base::endpoint& sender)
{
    for_each_feed_of(feeds_, caller, [&](const feed_key&, feed& each) { each.from.sender = sender; });
}

void feed_table::on_acknowledgement(const base::endpoint& caller)
{
    for_each_feed_of(feeds_, caller, [](const feed_key&, feed& each) { each.unacknowledged_since = {}; });
}

void feed_table::on_reset(const base::endpoint& caller, std::uint16_t message_id)
{
    std::optional<feed_key> ended;
    for_each_feed_of(feeds_, caller,
                     [&](const feed_key& key, const feed& each)
                     {
                         if (each.last_message_id == message_id && each.sequence > 0)
                         {
                             ended = key;
                         }
                     });
    if (ended)
    {
        feeds_.erase(*ended);
    }
}

std::vector<feed_key> feed_table::take_due(base::time_point now)
{
    std::vector<feed_key> due;
    while (!schedule_.empty() && schedule_.begin()->first <= now)
    {
        const auto [time, key] = *schedule_.begin();
        schedule_.erase(schedule_.begin());
        const auto found = feeds_.find(key);
        if (found == feeds_.end() || found->second.due != time)
        {
            continue;
        }
        found->second.due = time + interval_ > now ? time + interval_ : now + interval_;
        schedule_.emplace(found->second.due, key);
        due.push_back(key);
    }
    return due;
}

feed* feed_table::find(const feed_key& key)
{
    const auto found = feeds_.find(key);
    return found == feeds_.end() ? nullptr : &found->second;
}

void feed_table::clear()
{
    feeds_.clear();
    schedule_.clear();
}

} // namespace galenabay::stand_in
