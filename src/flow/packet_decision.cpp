#include "flow_key.hpp"
#include "steering_state.hpp"

#include <galenabay/base/invariant.hpp>

#include <algorithm>

namespace galenabay::flow
{

namespace
{

/// Time after a change in which an upstream that starts to drain may still get
/// flows whose age is unknown.
constexpr base::duration grace{2'300'000};
/// A version that a peer announced and that never arrives is given up.
constexpr base::duration await_limit{60'000'000};
/// A host without peers that started or resumed so recently may not have heard
/// of them yet.
constexpr base::duration alone_limit{3'000'000};
constexpr base::duration resume_limit{1'500'000};
/// For this long no host decides by a version that is known to be out of date.
constexpr base::duration outdated_limit{15'000'000};
/// A host that started or resumed waits for its peers' answers for this long.
constexpr base::duration uninformed_limit{8'000'000};
constexpr std::uint8_t max_hops = 64;
/// A packet with this many more hops than hosts come before this one has been
/// to every host of the ranking; views of the ranking may differ by one host.
constexpr std::size_t ranking_slack = 2;

} // namespace

decision steering::state::drop(drop_reason reason)
{
    ++counters_.dropped[static_cast<std::size_t>(reason)];
    decision result;
    result.reason = reason;
    return result;
}

decision steering::state::forward(const packet& of, std::uint32_t upstream)
{
    const auto& slot = index_.upstream(upstream);
    GALENABAY_INVARIANT(service_index::owns(*of.owners, slot.service));
    GALENABAY_INVARIANT(slot.reachable());
    decision result;
    result.what = verdict::forward;
    result.service = index_.service(slot.service).id;
    result.upstream = slot.id;
    result.upstream_endpoint = slot.endpoint;
    return result;
}

decision steering::state::relay(std::size_t host)
{
    GALENABAY_INVARIANT(!ranking_.is_self(host));
    ++counters_.relayed;
    decision result;
    result.what = verdict::relay;
    result.relay_to = host;
    return result;
}

std::optional<decision> steering::state::ask_next(const packet& of)
{
    auto& slot = index_.service(of.service);
    const auto position = ranking_.position(slot.id, of.key);
    const bool all_asked = of.hops > position + ranking_slack;
    if (all_asked && !awaits_version(slot))
    {
        return std::nullopt;
    }
    // Another host may place the flow now.
    slot.bypassed = true;
    if (const auto next = ranking_.next(slot.id, of.key))
    {
        return relay(*next);
    }
    // No host knows the flow. The first one places it, so that it knows at once.
    const auto first = ranking_.first(slot.id, of.key);
    const bool may_go_round = of.hops < 2 * ranking_.hosts().size() + 2 * ranking_slack;
    return first && may_go_round ? std::optional{relay(*first)} : std::nullopt;
}

bool steering::state::in_transition(const packet& of) const
{
    return std::any_of(of.owners->former.begin(), of.owners->former.end(),
                       [&](const former_owner& one) { return index_.in_transition(one, now_); });
}

decision steering::state::on_packet(const base::endpoint& caller, const base::endpoint& address, std::uint8_t hops,
                                    base::time_point now)
{
    now_ = now;
    if (revision_ == 0)
    {
        return drop(drop_reason::no_revision);
    }
    if (hops > max_hops)
    {
        return drop(drop_reason::too_many_hops);
    }
    const auto* owners = find_owners(caller, address);
    if (owners == nullptr)
    {
        return decide_unowned(make_flow_key(caller, address), hops);
    }
    packet of{make_flow_key(caller, address), owners, owners->current, hops};
    if (of.service == address_owners::none)
    {
        of.service = owners->former.front().service;
    }
    if (auto* entry = find_known(of, address); entry != nullptr)
    {
        return decide_known(of, *entry);
    }
    return decide_unknown(of);
}

const address_owners* steering::state::find_owners(const base::endpoint& caller, const base::endpoint& address)
{
    const auto* owners = index_.find_address(address);
    if (owners != nullptr || !index_.history_incomplete())
    {
        return owners;
    }
    const auto* entry = table_.find(make_flow_key(caller, address));
    if (entry == nullptr || is_expired(*entry))
    {
        return nullptr;
    }
    index_.lose_address(address, index_.upstream(entry->upstream).service, now_);
    return index_.find_address(address);
}

decision steering::state::decide_unowned(std::uint64_t key, std::uint8_t hops)
{
    if (index_.history_incomplete() && hops <= ranking_.hosts().size())
    {
        const auto next = hops == 0 ? ranking_.first(0, key) : ranking_.next(0, key);
        if (next || (hops == 0 && ranking_.next(0, key)))
        {
            return relay(next ? *next : *ranking_.next(0, key));
        }
    }
    return drop(drop_reason::unknown_service);
}

flow_entry* steering::state::find_known(const packet& of, const base::endpoint& address)
{
    auto* entry = table_.find(of.key);
    if (entry == nullptr)
    {
        return nullptr;
    }
    if (is_expired(*entry))
    {
        table_.erase(of.key);
        table_.count_idle_eviction();
        return nullptr;
    }
    // The lineage may have forgotten an owner whose flows still live.
    if (const auto service = index_.upstream(entry->upstream).service; !service_index::owns(*of.owners, service))
    {
        index_.lose_address(address, service, now_);
    }
    return entry;
}

bool steering::state::is_trusted(const packet& of, const flow_entry& entry) const
{
    const auto since_confirmed = coarse_time::of(now_).since(entry.confirmed);
    const auto& slot = index_.upstream(entry.upstream);
    if (resumed_at_ && now_ - *resumed_at_ < since_confirmed && !is_authoritative(slot.service, of.key))
    {
        return false;
    }
    // The deciding host may have moved the flow while the upstream was unhealthy.
    return !slot.was_unhealthy || now_ - slot.unhealthy_at >= since_confirmed;
}

decision steering::state::decide_known(const packet& of, flow_entry& entry)
{
    if (const auto& slot = index_.upstream(entry.upstream); !slot.reachable())
    {
        // A flow of a former owner must not turn into a flow of the present one.
        if (slot.service != of.owners->current)
        {
            table_.touch(of.key, entry, now_);
            return drop(drop_reason::upstream_gone);
        }
        table_.erase(of.key);
        return drop(drop_reason::upstream_gone);
    }
    const bool keeps = keeps_known(entry.upstream);
    if (of.hops == 0 && (!keeps || !is_trusted(of, entry)))
    {
        if (const auto first = ranking_.first(index_.service(of.service).id, of.key))
        {
            return relay(*first);
        }
    }
    if (!keeps)
    {
        replace_upstream(of, entry);
    }
    table_.touch(of.key, entry, now_);
    refresh(of, entry);
    return forward(of, entry.upstream);
}

void steering::state::replace_upstream(const packet& of, flow_entry& entry)
{
    const auto service = index_.upstream(entry.upstream).service;
    const auto chosen = choose_open(service, of.key);
    if (chosen == no_upstream_index || chosen == entry.upstream)
    {
        return;
    }
    note_unhealthy(entry.upstream, now_);
    entry.upstream = chosen;
    entry.moved = 1;
    entry.registered = 1;
    entry.confirmed = coarse_time::of(now_);
    tell_keepers(of.service, of.key);
}

void steering::state::tell_keepers(std::uint32_t service, std::uint64_t key)
{
    const auto id = index_.service(service).id;
    for (std::size_t host = 0; host < ranking_.hosts().size(); ++host)
    {
        if (!ranking_.is_self(host) && ranking_.keeps_records(host, id, key))
        {
            exchange_.push(ranking_.hosts()[host].id, key);
        }
    }
}

void steering::state::refresh(const packet& of, flow_entry& entry)
{
    const auto since = coarse_time::of(now_).since(entry.confirmed);
    if (since < index_.service(index_.upstream(entry.upstream).service).idle_timeout || !is_trusted(of, entry))
    {
        return;
    }
    entry.confirmed = coarse_time::of(now_);
    if (needs_record(of.key, entry))
    {
        tell_keepers(of.service, of.key);
    }
}

bool steering::state::awaits_version(const service_slot& slot) const
{
    return slot.awaited_tag != 0 && now_ - slot.awaited_since < await_limit;
}

bool steering::state::may_decide_alone(const packet& of, std::uint32_t& upstream) const
{
    const auto& slot = index_.service(of.service);
    if (of.hops > 0 || !of.owners->former.empty() || !slot.present || slot.draining || slot.history_full ||
        slot.address_uncertain || awaits_version(slot) || !exchange_.informed(revision_))
    {
        return false;
    }
    candidate_list candidates;
    if (!slot.choice.choose_all(of.key, candidates) || candidates[0] == no_upstream_index)
    {
        return false;
    }
    upstream = candidates[0];
    return takes_new(upstream) && !recently_unhealthy(upstream);
}

decision steering::state::decide_unknown(const packet& of)
{
    const bool resuming = resumed_at_ && !exchange_.has_peers() && now_ - *resumed_at_ < resume_limit;
    if (resuming || (of.hops > 0 && !ranking_.has_self()))
    {
        return drop(drop_reason::undecided);
    }
    if (std::uint32_t upstream = no_upstream_index; may_decide_alone(of, upstream))
    {
        auto& entry = table_.insert(of.key, now_, [&](const flow_entry& one) { return is_expired(one); });
        entry.upstream = upstream;
        return forward(of, upstream);
    }
    if (of.hops == 0)
    {
        if (const auto first = ranking_.first(index_.service(of.service).id, of.key))
        {
            return relay(*first);
        }
    }
    return decide_here(of);
}

decision steering::state::decide_here(const packet& of)
{
    const auto& slot = index_.service(of.service);
    const bool refused = in_transition(of) || !slot.present || slot.draining;
    const auto where = refused ? placement{} : plan(of);
    const bool authoritative = is_authoritative(of.service, of.key) && !awaits_version(slot);
    if (!where.certain && !(refused && authoritative && !in_transition(of)))
    {
        if (const auto next = ask_next(of))
        {
            return *next;
        }
        if (must_wait(of))
        {
            return drop(drop_reason::undecided);
        }
    }
    if (in_transition(of))
    {
        return drop(drop_reason::address_moved);
    }
    if (!slot.present)
    {
        return drop(drop_reason::unknown_service);
    }
    if (slot.draining)
    {
        return drop(drop_reason::service_draining);
    }
    return place(of, where);
}

bool steering::state::must_wait(const packet& of) const
{
    const auto& slot = index_.service(of.service);
    const bool outdated = awaits_version(slot) && now_ - slot.awaited_since < outdated_limit;
    const bool uninformed = uninformed_since_ && now_ - *uninformed_since_ < uninformed_limit;
    return outdated || uninformed || exchange_.awaits_leaving(slot.changed_in);
}

decision steering::state::place(const packet& of, const placement& where)
{
    if (where.upstream == no_upstream_index)
    {
        return drop(drop_reason::no_upstream);
    }
    auto& entry = table_.insert(of.key, now_, [&](const flow_entry& one) { return is_expired(one); });
    entry.upstream = where.upstream;
    candidate_list candidates;
    index_.service(of.service).choice.choose_all(of.key, candidates);
    const auto newest = candidates[0];
    entry.moved = newest != where.upstream && newest != no_upstream_index && recently_unhealthy(newest) ? 1 : 0;
    if (needs_record(of.key, entry))
    {
        entry.registered = 1;
        tell_keepers(of.service, of.key);
    }
    return forward(of, where.upstream);
}

bool steering::state::is_keeper(std::uint32_t service, std::uint64_t key) const
{
    const auto id = index_.service(service).id;
    if (exchange_.complete_for_set() && ranking_.self_keeps_records(id, key))
    {
        return true;
    }
    return complete_ranking_ && complete_ranking_->self_keeps_records(id, key);
}

bool steering::state::is_alone() const
{
    return !exchange_.has_peers() && alone_since_ && now_ - *alone_since_ >= alone_limit;
}

bool steering::state::is_authoritative(std::uint32_t service, std::uint64_t key) const
{
    if (!exchange_.has_peers())
    {
        return is_alone();
    }
    const auto& slot = index_.service(service);
    const bool stable = stable_complete_revision() >= slot.changed_in && now_ - slot.adopted_at >= record_latency;
    return stable && is_keeper(service, key);
}

steering::state::placement steering::state::plan(const packet& of) const
{
    const auto& slot = index_.service(of.service);
    candidate_list candidates;
    const bool agree = slot.choice.choose_all(of.key, candidates);
    const bool informed = exchange_.informed(revision_) && !awaits_version(slot);
    const bool authoritative = is_authoritative(of.service, of.key);
    const auto settled = authoritative ? 0 : index_.version_of(of.service, slot.settled_tag);
    if (settled < slot.choice.versions())
    {
        auto result = plan_settled(of, candidates[settled], authoritative);
        const bool keeper = authoritative || (informed && !slot.bypassed && is_keeper(of.service, of.key));
        result.certain = result.certain && keeper && !awaits_version(slot);
        return result;
    }
    placement result{choose_open(of.service, of.key), false};
    result.certain = agree && !slot.history_full && !slot.address_uncertain && informed &&
                     result.upstream == candidates[0] && result.upstream != no_upstream_index &&
                     !recently_unhealthy(result.upstream);
    return result;
}

steering::state::placement steering::state::plan_settled(const packet& of, std::uint32_t settled,
                                                         bool authoritative) const
{
    if (settled == no_upstream_index)
    {
        return {choose_open(of.service, of.key), authoritative};
    }
    const auto& upstream = index_.upstream(settled);
    const auto& slot = index_.service(of.service);
    const auto closed_at = upstream.closed_in == slot.changed_in ? slot.changed_at : upstream.closed_at;
    const bool in_grace = upstream.closed_in != 0 && now_ - closed_at < grace;
    const bool usable = takes_new(settled) || (in_grace && upstream.reachable() && upstream.healthy);
    if (!usable)
    {
        return {choose_open(of.service, of.key), false};
    }
    return {settled, authoritative || !recently_unhealthy(settled)};
}

void steering::state::on_upstream_packet(const base::endpoint& caller, const base::endpoint& address,
                                         const base::endpoint& upstream, base::time_point now)
{
    now_ = now;
    auto* entry = table_.find(make_flow_key(caller, address));
    if (entry == nullptr)
    {
        return;
    }
    auto& slot = index_.upstream(entry->upstream);
    if (slot.endpoint == upstream)
    {
        slot.answered = true;
        slot.answered_at = now;
        table_.touch(make_flow_key(caller, address), *entry, now);
    }
}

} // namespace galenabay::flow
