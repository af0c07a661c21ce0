#include "steering_state.hpp"

#include "flow_key.hpp"

#include <galenabay/base/invariant.hpp>

#include <algorithm>
#include <utility>

namespace galenabay::flow
{

steering::state::state(steering_settings settings) : settings_{std::move(settings)}, table_{settings_.table_size} {}

void steering::state::on_revision(const config::accepted_revision& revision, base::time_point now)
{
    now_ = now;
    if (revision.number > revision_)
    {
        revision_ = revision.number;
        index_.take_in(revision, now);
    }
}

void steering::state::on_hosts(std::span<const membership::live_host> hosts, base::time_point now)
{
    now_ = now;
    hosts_.assign(hosts.begin(), hosts.end());
}

void steering::state::on_health(config::upstream_id upstream, bool healthy, base::time_point now)
{
    const auto index = index_.find_upstream(upstream);
    if (index == no_upstream_index)
    {
        return;
    }
    auto& slot = index_.upstream(index);
    slot.healthy = healthy;
    if (!healthy)
    {
        slot.was_unhealthy = true;
        slot.unhealthy_at = now;
    }
}

bool steering::state::is_expired(const flow_entry& entry, base::time_point now) const
{
    const auto& owner = index_.service(index_.upstream(entry.upstream).service);
    return coarse_time::of(now).since(entry.last_seen) >= owner.idle_timeout;
}

decision steering::state::drop(drop_reason reason)
{
    ++counters_.dropped[static_cast<std::size_t>(reason)];
    decision result;
    result.reason = reason;
    return result;
}

decision steering::state::forward(std::uint32_t upstream)
{
    const auto& slot = index_.upstream(upstream);
    decision result;
    result.what = verdict::forward;
    result.service = index_.service(slot.service).id;
    result.upstream = slot.id;
    result.upstream_endpoint = slot.endpoint;
    return result;
}

decision steering::state::decide_unknown(std::uint32_t service, std::uint64_t key, base::time_point now)
{
    const auto& owner = index_.service(service);
    if (owner.draining)
    {
        return drop(drop_reason::service_draining);
    }
    const auto chosen = owner.choice.choose(key, [&](std::uint32_t one) { return index_.upstream(one).open; });
    if (chosen == no_upstream_index)
    {
        return drop(drop_reason::no_upstream);
    }
    auto& entry = table_.insert(key, now, [&](const flow_entry& one) { return is_expired(one, now); });
    entry.upstream = chosen;
    return forward(chosen);
}

decision steering::state::on_packet(const base::endpoint& caller, const base::endpoint& address, std::uint8_t,
                                    base::time_point now)
{
    now_ = now;
    if (revision_ == 0)
    {
        return drop(drop_reason::no_revision);
    }
    const auto* owners = index_.find_address(address);
    if (owners == nullptr)
    {
        return drop(drop_reason::unknown_service);
    }
    bool may_be_older = false;
    std::array<std::uint32_t, 2> order{owners->current, address_owners::none};
    for (const auto& former : owners->former)
    {
        if (index_.in_transition(former, now))
        {
            may_be_older = true;
            order[1] = former.service;
        }
    }
    for (const auto service : order)
    {
        if (service == address_owners::none)
        {
            continue;
        }
        const auto key = make_flow_key(caller, address, index_.service(service).id);
        auto* entry = table_.find(key);
        if (entry != nullptr && !is_expired(*entry, now))
        {
            table_.touch(key, *entry, now);
            return index_.upstream(entry->upstream).reachable() ? forward(entry->upstream)
                                                                : drop(drop_reason::upstream_gone);
        }
        if (entry != nullptr)
        {
            table_.erase(key);
            table_.count_idle_eviction();
        }
    }
    if (may_be_older)
    {
        return drop(drop_reason::address_moved);
    }
    if (owners->current == address_owners::none)
    {
        return drop(drop_reason::unknown_service);
    }
    return decide_unknown(owners->current, make_flow_key(caller, address, index_.service(owners->current).id), now);
}

void steering::state::on_upstream_packet(const base::endpoint& caller, const base::endpoint& address,
                                         const base::endpoint& upstream, base::time_point now)
{
    now_ = now;
    const auto* owners = index_.find_address(address);
    if (owners == nullptr || owners->current == address_owners::none)
    {
        return;
    }
    const auto key = make_flow_key(caller, address, index_.service(owners->current).id);
    auto* entry = table_.find(key);
    if (entry != nullptr && index_.upstream(entry->upstream).endpoint == upstream)
    {
        table_.touch(key, *entry, now);
    }
}

void steering::state::on_records(std::span<const flow_record>, base::time_point now)
{
    now_ = now;
}

std::vector<flow_record> steering::state::take_records(std::size_t, std::size_t, base::time_point now)
{
    now_ = now;
    return {};
}

void steering::state::on_tick(base::time_point now, bool)
{
    now_ = now;
}

bool steering::state::may_reach(const base::endpoint& address, const base::endpoint& upstream) const
{
    const auto* owners = index_.find_address(address);
    if (owners == nullptr)
    {
        return false;
    }
    const auto reaches = [&](std::uint32_t service)
    {
        const auto found = index_.find_upstream(service, upstream);
        return found != no_upstream_index && index_.upstream(found).reachable();
    };
    if (owners->current != address_owners::none && reaches(owners->current))
    {
        return true;
    }
    return std::any_of(owners->former.begin(), owners->former.end(),
                       [&](const former_owner& one)
                       { return index_.in_transition(one, now_) && reaches(one.service); });
}

const steering_counters& steering::state::counters() noexcept
{
    counters_.flows = table_.size();
    counters_.evicted_idle = table_.evicted_idle();
    counters_.evicted_full = table_.evicted_full();
    return counters_;
}

} // namespace galenabay::flow
