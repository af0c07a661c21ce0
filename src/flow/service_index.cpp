#include "service_index.hpp"

#include <galenabay/base/invariant.hpp>

#include <algorithm>
#include <utility>

namespace galenabay::flow
{

namespace
{

std::uint64_t low_bits(std::uint32_t service, std::uint32_t upstream)
{
    return (static_cast<std::uint64_t>(service) << 32) | upstream;
}

std::uint64_t tag_of(const std::vector<config::upstream>& upstreams, std::uint64_t seed)
{
    std::uint64_t tag = seed;
    for (const auto& target : upstreams)
    {
        tag = base::mix(tag, base::hash_text(target.name));
        tag = base::mix(tag, base::hash_endpoint(target.endpoint));
        tag = base::mix(tag, target.weight * 2ULL + (target.draining ? 1 : 0));
    }
    return tag;
}

std::uint64_t fingerprint_of(const config::service& from, const std::vector<config::generation>* lineage)
{
    std::uint64_t fingerprint = tag_of(from.upstreams, base::hash_endpoint(from.address));
    fingerprint = base::mix(fingerprint, from.flows.idle_timeout_s * 2ULL + (from.draining ? 1 : 0));
    if (lineage != nullptr)
    {
        for (const auto& earlier : *lineage)
        {
            fingerprint = tag_of(earlier.upstreams, base::mix(fingerprint, base::hash_endpoint(earlier.address)));
        }
    }
    return fingerprint;
}

} // namespace

void service_slot::await_version(std::uint32_t tag, base::time_point since)
{
    const auto known =
        std::find_if(awaited.begin(), awaited.end(), [&](const awaited_version& one) { return one.tag == tag; });
    if (known != awaited.end())
    {
        known->since = std::min(known->since, since);
        return;
    }
    if (awaited.size() == max_versions)
    {
        awaited.erase(awaited.begin());
    }
    awaited.push_back({tag, since});
}

std::optional<base::time_point> service_slot::awaited_since() const
{
    const auto first = std::min_element(awaited.begin(), awaited.end(),
                                        [](const auto& a, const auto& b) { return a.since < b.since; });
    return first == awaited.end() ? std::nullopt : std::optional{first->since};
}

base::time_point service_slot::end_wait(base::time_point now)
{
    const auto since = awaited_since();
    std::erase_if(awaited,
                  [&](const awaited_version& one)
                  {
                      return std::any_of(version_tags.begin(), version_tags.end(),
                                         [&](std::uint64_t tag) { return static_cast<std::uint32_t>(tag) == one.tag; });
                  });
    return since ? std::min(now, *since) : now;
}

std::uint32_t service_index::find_or_add(config::service_id id)
{
    const auto [found, added] = by_service_.try_emplace(id, static_cast<std::uint32_t>(services_.size()));
    if (added)
    {
        services_.emplace_back().id = id;
    }
    return found->second;
}

std::uint32_t service_index::find_or_add(std::uint32_t service, const config::service& owner,
                                         const config::upstream& target)
{
    const auto id = config::id_of(owner, target);
    const auto [found, added] = by_upstream_.try_emplace(id, static_cast<std::uint32_t>(upstreams_.size()));
    if (added)
    {
        auto& slot = upstreams_.emplace_back();
        slot.id = id;
        slot.endpoint = target.endpoint;
        slot.service = service;
        by_low_bits_[low_bits(static_cast<std::uint32_t>(owner.id()), static_cast<std::uint32_t>(id))] = found->second;
    }
    return found->second;
}

void service_index::add_version(service_slot& slot, std::uint32_t index, const config::service& owner,
                                const std::vector<config::upstream>& upstreams, std::uint64_t first_revision,
                                bool in_force)
{
    slot.choice.add_version();
    slot.version_tags.push_back(tag_of(upstreams, base::mix(owner.id(), first_revision)));
    for (const auto& target : upstreams)
    {
        const auto position = find_or_add(index, owner, target);
        auto& entry = upstreams_[position];
        if (!entry.listed)
        {
            entry.listed = true;
            slot.upstreams.push_back(position);
        }
        entry.in_set |= in_force;
        entry.open |= in_force && !target.draining;
        if (!target.draining)
        {
            slot.choice.add(position, entry.id, target.weight);
        }
    }
}

void service_index::clear(service_slot& slot)
{
    for (const auto position : slot.upstreams)
    {
        upstreams_[position].listed = false;
        upstreams_[position].in_set = false;
        upstreams_[position].was_open = std::exchange(upstreams_[position].open, false);
    }
    slot.upstreams.clear();
    slot.version_tags.clear();
    slot.choice = upstream_choice{};
    slot.fingerprint = 0;
}

bool service_index::build(std::uint32_t index, const config::service& from,
                          const std::vector<config::generation>* lineage)
{
    const auto fingerprint = fingerprint_of(from, lineage);
    if (services_[index].fingerprint == fingerprint)
    {
        return false;
    }
    auto& slot = services_[index];
    const auto old_tags = slot.version_tags;
    clear(slot);
    slot.fingerprint = fingerprint;
    slot.draining = from.draining;
    slot.idle_timeout = base::duration{from.flows.idle_timeout_s * 1'000'000LL};
    const std::size_t earlier = lineage == nullptr ? 0 : std::min(lineage->size(), max_versions - 1);
    const auto first_revision = [&](std::size_t version)
    { return version < earlier ? (*lineage)[version].last_revision + 1 : 0; };
    slot.history_full = earlier >= config::max_generations;
    slot.first_revision = first_revision(0);
    add_version(slot, index, from, from.upstreams, slot.first_revision, true);
    for (std::size_t i = 0; i < earlier; ++i)
    {
        add_version(slot, index, from, (*lineage)[i].upstreams, first_revision(i + 1), false);
    }
    return slot.version_tags != old_tags;
}

void service_index::record_change(std::uint32_t index, std::uint64_t revision, base::time_point now)
{
    auto& slot = services_[index];
    slot.changed_in = revision;
    slot.adopted_at = now;
    slot.changed_at = now;
    if (!slot.awaited.empty())
    {
        slot.changed_at = slot.end_wait(now);
        slot.bypassed = true;
    }
    for (const auto position : slot.upstreams)
    {
        auto& entry = upstreams_[position];
        if (entry.was_open && !entry.open)
        {
            entry.closed_in = revision;
            entry.closed_at = slot.changed_at;
        }
        entry.was_open = entry.open;
    }
}

void service_index::take_address(const config::service& owner, std::uint32_t index)
{
    auto& owners = by_address_[owner.address];
    owners.current = index;
    std::erase_if(owners.former, [&](const former_owner& one) { return one.service == index; });
}

void service_index::add_former_owner(const base::endpoint& address, std::uint32_t service, base::time_point now)
{
    auto& owners = by_address_[address];
    if (owners.current == service)
    {
        return;
    }
    const bool known = std::any_of(owners.former.begin(), owners.former.end(),
                                   [&](const former_owner& one) { return one.service == service; });
    if (!known)
    {
        owners.former.push_back({service, now});
    }
}

void service_index::release_addresses(base::time_point now)
{
    for (auto& [address, owners] : by_address_)
    {
        if (owners.current != address_owners::none)
        {
            owners.former.push_back({owners.current, now});
            owners.current = address_owners::none;
        }
    }
}

void service_index::remove_unlisted(base::time_point now)
{
    for (auto& slot : services_)
    {
        if (!slot.listed)
        {
            clear(slot);
        }
    }
    for (auto entry = by_address_.begin(); entry != by_address_.end();)
    {
        auto& owners = entry->second;
        // Flows may outlive the lineage, so an owner that is still listed stays.
        std::erase_if(owners.former, [&](const former_owner& one)
                      { return !services_[one.service].listed && !in_transition(one, now); });
        for (const auto& former : owners.former)
        {
            services_[former.service].has_former_address = true;
        }
        const bool unused = owners.current == address_owners::none && owners.former.empty();
        entry = unused ? by_address_.erase(entry) : std::next(entry);
    }
}

std::vector<std::uint32_t> service_index::apply_revision(const config::accepted_revision& revision,
                                                         base::time_point now)
{
    std::vector<std::uint32_t> changed;
    for (auto& slot : services_)
    {
        slot.present = false;
        slot.listed = false;
        slot.has_former_address = false;
    }
    release_addresses(now);
    for (const auto& from : revision.set.services)
    {
        const auto index = find_or_add(from.id());
        const auto lineage = revision.lineage.find(from.name);
        if (build(index, from, lineage == revision.lineage.end() ? nullptr : &lineage->second))
        {
            record_change(index, revision.number, now);
            changed.push_back(index);
        }
        services_[index].present = true;
        services_[index].listed = true;
        services_[index].address = from.address;
        take_address(from, index);
    }
    for (const auto& [name, lineage] : revision.lineage)
    {
        const auto index = find_or_add(base::hash_text(name));
        if (!services_[index].present)
        {
            config::service removed;
            removed.name = name;
            removed.draining = true;
            removed.flows.idle_timeout_s =
                static_cast<std::uint32_t>(services_[index].idle_timeout.count() / 1'000'000);
            if (build(index, removed, &lineage))
            {
                record_change(index, revision.number, now);
                changed.push_back(index);
            }
            services_[index].listed = true;
        }
        for (const auto& earlier : lineage)
        {
            add_former_owner(earlier.address, index, now);
        }
    }
    mark_uncertain_addresses(revision);
    remove_unlisted(now);
    mark_reassigned_endpoints();
    return changed;
}

void service_index::mark_uncertain_addresses(const config::accepted_revision& revision)
{
    history_incomplete_ = std::any_of(services_.begin(), services_.end(),
                                      [](const service_slot& slot) { return slot.listed && slot.history_full; });
    for (const auto& [name, lineage] : revision.lineage)
    {
        auto& slot = services_[find_or_add(base::hash_text(name))];
        const bool moved_here =
            std::any_of(lineage.begin(), lineage.end(),
                        [&](const config::generation& earlier) { return earlier.address != slot.address; });
        slot.address_uncertain = history_incomplete_ && (moved_here || slot.history_full);
        slot.address_taken = history_incomplete_ && moved_here;
    }
}

void service_index::mark_reassigned_endpoints()
{
    std::unordered_map<base::endpoint, std::uint32_t, endpoint_hash> users;
    users.reserve(upstreams_.size());
    for (const auto& slot : upstreams_)
    {
        if (slot.in_set)
        {
            users[slot.endpoint] = slot.service;
        }
    }
    for (auto& slot : upstreams_)
    {
        const auto user = users.find(slot.endpoint);
        slot.endpoint_reassigned = !slot.in_set && user != users.end() && user->second != slot.service;
    }
}

const address_owners* service_index::find_address(const base::endpoint& address) const
{
    const auto found = by_address_.find(address);
    return found == by_address_.end() ? nullptr : &found->second;
}

std::uint32_t service_index::find_service(config::service_id id) const
{
    const auto found = by_service_.find(id);
    return found == by_service_.end() ? address_owners::none : found->second;
}

std::uint32_t service_index::find_upstream(std::uint32_t service_low, std::uint32_t upstream_low) const
{
    const auto found = by_low_bits_.find(low_bits(service_low, upstream_low));
    return found == by_low_bits_.end() ? no_upstream_index : found->second;
}

std::uint32_t service_index::find_upstream(config::upstream_id id) const
{
    const auto found = by_upstream_.find(id);
    return found == by_upstream_.end() ? no_upstream_index : found->second;
}

std::uint32_t service_index::find_upstream(std::uint32_t service, const base::endpoint& endpoint) const
{
    for (const auto index : services_[service].upstreams)
    {
        if (upstreams_[index].endpoint == endpoint)
        {
            return index;
        }
    }
    return no_upstream_index;
}

bool service_index::owns(const address_owners& owners, std::uint32_t service) noexcept
{
    return owners.current == service || std::any_of(owners.former.begin(), owners.former.end(),
                                                    [&](const former_owner& one) { return one.service == service; });
}

std::size_t service_index::version_of(std::uint32_t service, std::uint64_t tag) const
{
    const auto& tags = services_[service].version_tags;
    return static_cast<std::size_t>(std::find(tags.begin(), tags.end(), tag) - tags.begin());
}

bool service_index::in_transition(const former_owner& owner, base::time_point now) const
{
    return now - owner.since < services_[owner.service].idle_timeout;
}

} // namespace galenabay::flow
