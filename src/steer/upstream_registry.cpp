#include <galenabay/steer/upstream_registry.hpp>

#include <galenabay/base/hash.hpp>
#include <galenabay/base/invariant.hpp>

#include <algorithm>
#include <tuple>
#include <unordered_set>
#include <utility>

namespace galenabay::steer
{

namespace
{

/// Returns a digest of what steering uses of a registration.
std::uint64_t digest_of(const upstream_entry& entry)
{
    auto digest = base::mix(base::hash_text(entry.id), entry.started_ms);
    digest = base::mix(digest, base::hash_text(entry.service));
    digest = base::mix(digest, base::hash_text(entry.data_centre));
    digest = base::mix(digest, (std::uint64_t{entry.address.v4()} << 16U) | entry.address.port());
    return base::mix(digest, (std::uint64_t{entry.slots} << 1U) | (entry.draining ? 1U : 0U));
}

/// Returns the entries in the order in which the upstreams started. Hosts that have run since before learnt of them in
/// this order; so all give a token that two of them have to the same one.
std::vector<const upstream_entry*> by_start(const std::vector<upstream_entry>& entries)
{
    std::vector<const upstream_entry*> ordered;
    ordered.reserve(entries.size());
    for (const auto& entry : entries)
    {
        ordered.push_back(&entry);
    }
    std::ranges::sort(ordered, {}, [](const auto* entry) { return std::tie(entry->started_ms, entry->id); });
    return ordered;
}

} // namespace

const char* name_of(upstream_change change)
{
    switch (change)
    {
    case upstream_change::none:
        return "none";
    case upstream_change::added:
        return "added";
    case upstream_change::updated:
        return "updated";
    case upstream_change::restarted:
        return "restarted";
    case upstream_change::missing:
        return "missing";
    case upstream_change::ended:
        return "ended";
    }
    return "unknown";
}

bool upstream_registry::is_newer(const upstream_entry& entry, const known_change& known)
{
    const auto order = entry.sequence <=> known.sequence;
    if (entry.revision.epoch == known.revision.epoch && known.content_epoch == known.revision.epoch)
    {
        return entry.revision > known.revision || (entry.revision == known.revision && !known.removed && order >= 0);
    }
    if (known.removed && entry.revision < known.revision)
    {
        return false;
    }
    if (entry.started_ms == 0)
    {
        // Without a start time the sequence may be that of another start.
        return entry.revision > known.revision;
    }
    if (entry.started_ms != known.started_ms)
    {
        return entry.started_ms > known.started_ms;
    }
    return order > 0 || (order == 0 && entry.revision > known.revision);
}

bool upstream_registry::record_registration(const upstream_entry& entry, base::time_point now)
{
    observe_epoch(entry.revision.epoch, now);
    if (!by_id_.contains(entry.id) && entry.revision < listed_at_)
    {
        return false;
    }
    auto [row, is_new] = known_.try_emplace(entry.id);
    auto& known = row->second;
    const bool applied = is_new || is_newer(entry, known);
    // Later changes of the epoch are compared with this one, whatever it says.
    known.revision = std::max(known.revision, entry.revision);
    if (applied)
    {
        known = {.revision = known.revision,
                 .removed = false,
                 .at = now,
                 .content_epoch = entry.revision.epoch,
                 .started_ms = entry.started_ms,
                 .sequence = entry.sequence};
    }
    return applied;
}

bool upstream_registry::record_removal(const std::string& id, const store_revision& revision, base::time_point now)
{
    observe_epoch(revision.epoch, now);
    auto& known = known_[id];
    if (revision < known.revision)
    {
        return false;
    }
    earlier_starts_.erase(id);
    colliding_.erase(id);
    known.revision = revision;
    known.removed = true;
    known.at = now;
    known.content_epoch = revision.epoch;
    return true;
}

void upstream_registry::store_failed(base::time_point now)
{
    store_failed_at_ = now;
    store_unwatched(now);
}

void upstream_registry::store_unwatched(base::time_point now)
{
    unwatched_since_ = unwatched_since(now);
    unwatched_at_ = now;
}

void upstream_registry::observe_epoch(std::uint64_t epoch, base::time_point now)
{
    if (epoch <= epoch_)
    {
        return;
    }
    if (std::exchange(epoch_, epoch) != 0)
    {
        store_failed(now);
    }
}

void upstream_registry::count_outdated(const upstream_entry& entry)
{
    const auto known = by_id_.find(entry.id);
    const bool differs = known == by_id_.end() || known->second->missing_since ||
                         known->second->entry.draining != entry.draining ||
                         known->second->entry.address != entry.address;
    outdated_count_ += differs ? 1 : 0;
}

upstream_registry::change upstream_registry::put(const upstream_entry& entry, base::time_point now)
{
    if (!record_registration(entry, now))
    {
        count_outdated(entry);
        if (const auto known = by_id_.find(entry.id); known != by_id_.end())
        {
            known->second->entry.revision = known_[entry.id].revision;
        }
        return {};
    }
    auto kind = upstream_change::added;
    upstream_incarnation* replaced = nullptr;
    if (const auto known = by_id_.find(entry.id); known != by_id_.end())
    {
        auto& current = *known->second;
        if (current.entry.started_ms == entry.started_ms && current.entry.service == entry.service &&
            current.entry.address == entry.address && !current.ended)
        {
            const bool same = current.entry.draining == entry.draining && !current.missing_since;
            earlier_starts_.erase(entry.id);
            update(current, entry, now);
            return {same ? upstream_change::none : upstream_change::updated, &current};
        }
        if (current.entry.started_ms > entry.started_ms && !current.ended)
        {
            const auto [row, is_new] =
                earlier_starts_.try_emplace(entry.id, earlier_start{{}, now, unwatched_since(now)});
            row->second.entry = entry;
            return {upstream_change::none, &current};
        }
        end(current, now);
        earlier_starts_.erase(entry.id);
        replaced = &current;
        kind = upstream_change::restarted;
    }
    const auto token = token_of(entry);
    auto& slot = by_token_[token];
    if (slot && (!slot->ended || slot->entry.id != entry.id || slot->entry.service != entry.service))
    {
        // With two upstreams of one token, packets could reach the wrong one, so the
        // later one gets no flows.
        record_collision(entry, *slot);
        return replaced == nullptr ? change{} : change{upstream_change::ended, replaced};
    }
    if (!slot)
    {
        slot = std::make_unique<upstream_incarnation>();
        slot->token = token;
        slot->last_progress = now;
        slot->warm_at = base::time_point::max();
    }
    colliding_.erase(entry.id);
    slot->ended = false;
    slot->successor = 0;
    update(*slot, entry, now);
    if (replaced != nullptr)
    {
        link(*replaced, *slot);
    }
    by_id_[entry.id] = slot.get();
    by_service_[entry.service].push_back(slot.get());
    return {kind, slot.get()};
}

void upstream_registry::record_collision(const upstream_entry& entry, const upstream_incarnation& other)
{
    // The upstream registers again and again.
    if (std::exchange(colliding_[entry.id], other.token) != other.token)
    {
        found_collisions_.push_back({.id = entry.id, .other_id = other.entry.id, .token = other.token});
    }
}

void upstream_registry::update(upstream_incarnation& incarnation, const upstream_entry& entry, base::time_point now)
{
    incarnation.entry = entry;
    incarnation.entry.revision = known_[entry.id].revision;
    // A registration that arrives late overstates the time that is left. Without a start time it
    // may be that of a later start.
    const auto warm_at = now + entry.warm_up_left;
    incarnation.warm_at = entry.started_ms == 0 ? warm_at : std::min(incarnation.warm_at, warm_at);
    incarnation.missing_since.reset();
    update_digest(incarnation);
}

upstream_registry::change upstream_registry::remove(const std::string& id, const store_revision& revision,
                                                    base::time_point now)
{
    if (!record_removal(id, revision, now))
    {
        return {};
    }
    const auto known = by_id_.find(id);
    return known == by_id_.end() ? change{} : mark_missing(*known->second, now);
}

upstream_registry::change upstream_registry::mark_missing(upstream_incarnation& incarnation, base::time_point now)
{
    if (incarnation.missing_since || incarnation.ended)
    {
        return {};
    }
    incarnation.missing_since = now;
    update_digest(incarnation);
    return {upstream_change::missing, &incarnation};
}

std::vector<upstream_registry::change> upstream_registry::replace_all(const std::vector<upstream_entry>& entries,
                                                                      const store_revision& revision,
                                                                      base::time_point now)
{
    observe_epoch(revision.epoch, now);
    std::vector<change> changes;
    std::unordered_set<std::string_view> listed;
    for (const auto* entry : by_start(entries))
    {
        listed.insert(entry->id);
        if (const auto made = put(*entry, now); made.kind != upstream_change::none)
        {
            changes.push_back(made);
        }
    }
    // A list of unknown epoch may be stale, so it tells nothing about what it does not contain
    // beyond the registrations that are older.
    const bool is_certain = revision.epoch != 0;
    if (is_certain)
    {
        std::erase_if(colliding_, [&](const auto& colliding) { return !listed.contains(colliding.first); });
    }
    for (const auto& [id, incarnation] : by_id_)
    {
        if (listed.contains(id))
        {
            continue;
        }
        if (is_certain ? !record_removal(id, revision, now) : incarnation->entry.revision > revision)
        {
            continue;
        }
        if (const auto made = mark_missing(*incarnation, now); made.kind != upstream_change::none)
        {
            changes.push_back(made);
        }
    }
    listed_at_ = is_certain ? std::max(listed_at_, revision) : listed_at_;
    return changes;
}

void upstream_registry::end(upstream_incarnation& incarnation, base::time_point now)
{
    incarnation.ended = true;
    incarnation.ended_at = now;
    incarnation.end_unknown_since = unwatched_since(now);
    if (const auto earlier = earlier_starts_.find(incarnation.entry.id); earlier != earlier_starts_.end())
    {
        incarnation.end_unknown_since = std::min(incarnation.end_unknown_since, earlier->second.unwatched_since);
    }
    update_digest(incarnation);
    std::erase(by_service_[incarnation.entry.service], &incarnation);
    by_id_.erase(incarnation.entry.id);
}

void upstream_registry::link(upstream_incarnation& ended, const upstream_incarnation& next)
{
    const bool is_in_place = ended.token != next.token && ended.entry.id == next.entry.id &&
                             ended.entry.service == next.entry.service && ended.entry.number == next.entry.number &&
                             ended.entry.address == next.entry.address;
    ended.successor = is_in_place ? next.token : 0;
}

std::vector<upstream_registry::change> upstream_registry::expire(base::time_point now)
{
    std::vector<change> changes;
    const bool is_settled = is_store_settled(now);
    for (auto& [token, incarnation] : by_token_)
    {
        const bool overdue = incarnation->missing_since && now - *incarnation->missing_since >= limits_.missing_grace;
        if (!incarnation->ended && overdue && is_settled)
        {
            end(*incarnation, now);
            changes.push_back({upstream_change::ended, incarnation.get()});
        }
    }
    if (is_settled)
    {
        replace_with_earlier_starts(changes, now);
    }
    std::erase_if(by_token_,
                  [&](const auto& row)
                  {
                      const auto& incarnation = *row.second;
                      return incarnation.ended && incarnation.flows == 0 &&
                             now - incarnation.ended_at >= limits_.retention;
                  });
    std::erase_if(known_,
                  [&](const auto& row) { return row.second.removed && now - row.second.at >= limits_.retention; });
    return changes;
}

void upstream_registry::replace_with_earlier_starts(std::vector<change>& changes, base::time_point now)
{
    std::vector<upstream_entry> due;
    for (const auto& [id, earlier] : earlier_starts_)
    {
        if (now - earlier.known_since >= limits_.missing_grace)
        {
            due.push_back(earlier.entry);
        }
    }
    for (const auto& entry : due)
    {
        upstream_incarnation* replaced = nullptr;
        if (const auto known = by_id_.find(entry.id); known != by_id_.end())
        {
            replaced = known->second;
            changes.push_back({upstream_change::ended, replaced});
            end(*replaced, now);
        }
        earlier_starts_.erase(entry.id);
        const auto added = put(entry, now);
        if (replaced != nullptr && added.incarnation != nullptr)
        {
            link(*replaced, *added.incarnation);
        }
        changes.push_back(added);
    }
}

upstream_incarnation* upstream_registry::find(upstream_token token)
{
    const auto known = by_token_.find(token);
    return known == by_token_.end() ? nullptr : known->second.get();
}

upstream_incarnation* upstream_registry::find_successor(const upstream_incarnation& ended)
{
    // An incarnation that is in use again has no successor, so the chain has no cycle.
    auto* next = ended.successor == 0 ? nullptr : find(ended.successor);
    while (next != nullptr && next->ended)
    {
        next = next->successor == 0 ? nullptr : find(next->successor);
    }
    return next;
}

const std::vector<upstream_incarnation*>& upstream_registry::of_service(const std::string& service) const
{
    static const std::vector<upstream_incarnation*> none;
    const auto known = by_service_.find(service);
    return known == by_service_.end() ? none : known->second;
}

std::uint64_t upstream_registry::digest() const noexcept
{
    constexpr std::uint64_t empty_digest = 1;
    return digest_sum_ == 0 ? empty_digest : digest_sum_;
}

void upstream_registry::update_digest(upstream_incarnation& incarnation)
{
    const bool is_listed = !incarnation.ended && !incarnation.missing_since;
    const auto part = is_listed ? digest_of(incarnation.entry) : 0;
    // A sum does not depend on the order in which upstreams became known.
    digest_sum_ += part - std::exchange(incarnation.digest_part, part);
}

bool upstream_registry::is_store_settled(base::time_point now) const
{
    return !store_failed_at_ || now - *store_failed_at_ >= limits_.missing_grace;
}

bool upstream_registry::was_unwatched(base::time_point now) const
{
    return unwatched_at_ && now - *unwatched_at_ < limits_.restart_delay;
}

base::time_point upstream_registry::unwatched_since(base::time_point now) const
{
    return was_unwatched(now) ? unwatched_since_ : now;
}

bool upstream_registry::may_have_expired(const upstream_incarnation& incarnation) const
{
    return incarnation.missing_since && store_failed_at_ &&
           *incarnation.missing_since - *store_failed_at_ < limits_.missing_grace;
}

} // namespace galenabay::steer
