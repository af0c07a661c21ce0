#include "flow_key.hpp"
#include "steering_state.hpp"

namespace galenabay::flow
{

namespace
{

/// Time after which the record of a flow that was found by relaying is sent again.
constexpr base::duration report_interval{10'000'000};
/// Records of flows with longer gaps between packets are sent first: another packet
/// that finds the flow before its host ends is less likely.
constexpr base::duration slow_flow_gap{10'000'000};

} // namespace

flow_entry* steering::state::find_entry(const packet& pkt, const base::endpoint& address)
{
    auto* entry = table_.find(pkt.key);
    if (entry == nullptr)
    {
        return nullptr;
    }
    if (is_expired(*entry))
    {
        table_.erase(pkt.key);
        table_.count_idle_eviction();
        return nullptr;
    }
    // Flows of an owner may outlive its entry in the lineage.
    if (const auto service = index_.upstream(entry->upstream).service; !service_index::owns(*pkt.owners, service))
    {
        index_.add_former_owner(address, service, now_);
    }
    return entry;
}

bool steering::state::predates_pause(const packet& pkt, const flow_entry& entry) const
{
    const auto since_confirmed = coarse_time::of(now_).since(entry.confirmed);
    return resumed_at_ && now_ - *resumed_at_ < since_confirmed &&
           !is_authoritative(index_.upstream(entry.upstream).service, pkt.key);
}

bool steering::state::is_trusted(const packet& pkt, const flow_entry& entry) const
{
    if (predates_pause(pkt, entry))
    {
        return false;
    }
    const auto since_confirmed = coarse_time::of(now_).since(entry.confirmed);
    const auto& slot = index_.upstream(entry.upstream);
    // The deciding host may have moved the flow while the upstream was unhealthy.
    return !slot.was_unhealthy || now_ - slot.unhealthy_at >= since_confirmed;
}

decision steering::state::decide_known(const packet& pkt, flow_entry& entry)
{
    if (const auto& slot = index_.upstream(entry.upstream); !slot.reachable())
    {
        // A flow of a former owner must not become a flow of the current one.
        if (slot.service != pkt.owners->current)
        {
            table_.touch(pkt.key, entry, now_);
            return drop(drop_reason::upstream_gone);
        }
        table_.erase(pkt.key);
        return drop(drop_reason::upstream_gone);
    }
    const bool keeps = keeps_established_flows(entry.upstream);
    if (pkt.hops == 0 && (!keeps || !is_trusted(pkt, entry)))
    {
        if (const auto first = ranking_.first(index_.service(pkt.service).id, pkt.key))
        {
            return relay(*first);
        }
    }
    if (const auto asked = ask_other_hosts(pkt, entry, keeps))
    {
        return *asked;
    }
    if (!keeps)
    {
        replace_upstream(pkt, entry);
    }
    const auto idle_time = coarse_time::of(now_).since(entry.last_seen);
    table_.touch(pkt.key, entry, now_);
    refresh(pkt, entry);
    report_found(pkt, entry, idle_time);
    return forward(pkt, entry.upstream);
}

std::optional<decision> steering::state::ask_other_hosts(const packet& pkt, flow_entry& entry, bool keeps)
{
    const bool outdated = predates_pause(pkt, entry);
    if (outdated && is_resuming())
    {
        return drop(drop_reason::undecided);
    }
    const bool healthy = index_.upstream(entry.upstream).healthy;
    const bool doubtful = !keeps || (outdated && !healthy);
    if (!outdated && !(doubtful && pkt.hops > 0))
    {
        return std::nullopt;
    }
    // The first host of the ranking decides for the others. It asks them when it did
    // not run for a while, and they answer unless their entry may be out of date as
    // well. When none of them answers, the packet returns to the first host.
    const auto id = index_.service(pkt.service).id;
    const auto position = ranking_.position(id, pkt.key);
    const auto next = ranking_.next(id, pkt.key);
    if (pkt.hops <= position + host_ranking::max_difference)
    {
        if (next && (position == 0 ? outdated : doubtful && pkt.hops > 0))
        {
            return relay(*next);
        }
        if (const auto first = ranking_.first(id, pkt.key); first && doubtful && pkt.hops > 0)
        {
            return relay(*first);
        }
    }
    else if (position == 0 && next && keeps && healthy)
    {
        entry.confirmed = coarse_time::of(now_);
    }
    // Without the answers of its peers, a host that resumed does not know since when
    // the upstream has been unhealthy.
    return outdated && !healthy && lacks_answers() ? std::optional{drop(drop_reason::undecided)} : std::nullopt;
}

void steering::state::replace_upstream(const packet& pkt, flow_entry& entry)
{
    const auto service = index_.upstream(entry.upstream).service;
    const auto chosen = choose_open(service, pkt.key);
    if (chosen == no_upstream_index || chosen == entry.upstream)
    {
        return;
    }
    record_unhealthy(entry.upstream, now_);
    entry.upstream = chosen;
    entry.moved = 1;
    entry.registered = 1;
    entry.confirmed = coarse_time::of(now_);
    notify_record_holders(pkt.service, pkt.key);
}

void steering::state::notify_record_holders(std::uint32_t service, std::uint64_t key, record_urgency urgency)
{
    const auto id = index_.service(service).id;
    for (std::size_t host = 0; host < ranking_.hosts().size(); ++host)
    {
        if (!ranking_.is_self(host) && ranking_.keeps_records(host, id, key))
        {
            exchange_.queue_flow(ranking_.hosts()[host].id, key, urgency);
        }
    }
}

void steering::state::refresh(const packet& pkt, flow_entry& entry)
{
    const auto since = coarse_time::of(now_).since(entry.confirmed);
    if (since < index_.service(index_.upstream(entry.upstream).service).idle_timeout || !is_trusted(pkt, entry))
    {
        return;
    }
    entry.confirmed = coarse_time::of(now_);
    if (needs_record(pkt.key, entry))
    {
        notify_record_holders(pkt.service, pkt.key);
    }
}

void steering::state::report_found(const packet& pkt, flow_entry& entry, base::duration idle_time)
{
    if (pkt.hops == 0)
    {
        return;
    }
    const bool slow = idle_time >= slow_flow_gap;
    const auto& slot = index_.service(pkt.service);
    const auto since_confirmed = coarse_time::of(now_).since(entry.confirmed);
    const bool searched_for = ranking_.position(slot.id, pkt.key) > 0;
    const bool due = searched_for ? entry.registered == 0 || since_confirmed > report_interval
                                  : slow && since_confirmed > now_ - slot.adopted_at;
    if (due && is_trusted(pkt, entry) && needs_record(pkt.key, entry))
    {
        entry.registered = 1;
        entry.confirmed = coarse_time::of(now_);
        notify_record_holders(pkt.service, pkt.key, slow ? record_urgency::found_slow : record_urgency::found);
    }
}

} // namespace galenabay::flow
