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
constexpr base::duration drain_grace{2'300'000};
/// Time to wait for a version that a peer announced and that does not arrive.
constexpr base::duration version_wait_limit{60'000'000};
/// A host without peers that started or resumed this recently may not have
/// discovered its peers yet.
constexpr base::duration sole_host_delay{3'000'000};
constexpr base::duration resume_delay{1'500'000};
/// Time for which no host decides by a version that is known to be out of date.
constexpr base::duration outdated_version_limit{15'000'000};
/// Time for which a host that started or resumed waits for its peers' answers.
constexpr base::duration answer_wait_limit{8'000'000};
constexpr std::uint8_t max_hops = 64;

} // namespace

decision steering::state::drop(drop_reason reason)
{
    ++counters_.dropped[static_cast<std::size_t>(reason)];
    decision result;
    result.reason = reason;
    return result;
}

decision steering::state::forward(const packet& pkt, std::uint32_t upstream)
{
    const auto& slot = index_.upstream(upstream);
    GALENABAY_INVARIANT(service_index::owns(*pkt.owners, slot.service));
    GALENABAY_INVARIANT(slot.reachable());
    decision result;
    result.action = verdict::forward;
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
    result.action = verdict::relay;
    result.relay_to = host;
    return result;
}

std::optional<decision> steering::state::relay_to_next(const packet& pkt)
{
    auto& slot = index_.service(pkt.service);
    const auto position = ranking_.position(slot.id, pkt.key);
    const bool all_visited = pkt.hops > position + host_ranking::max_difference;
    if (all_visited && !awaits_version(slot))
    {
        return std::nullopt;
    }
    // Another host may place the flow from now on.
    slot.bypassed = true;
    if (const auto next = ranking_.next(slot.id, pkt.key))
    {
        return relay(*next);
    }
    // No host has a record of the flow. The first host of the ranking places it,
    // so that the record is there at once.
    const auto first = ranking_.first(slot.id, pkt.key);
    const bool may_restart_ranking = pkt.hops < 2 * ranking_.hosts().size() + 2 * host_ranking::max_difference;
    return first && may_restart_ranking ? std::optional{relay(*first)} : std::nullopt;
}

bool steering::state::in_transition(const packet& pkt) const
{
    // The flows of a former owner that the lineage no longer shows are known to other hosts only, and a host without
    // peers can't ask them. Having had peers does not help: they may have known as little (torture_flow seed 1064).
    const auto& slot = index_.service(pkt.service);
    if (slot.address_taken && !exchange_.has_peers() && started_at_ && now_ - *started_at_ < slot.idle_timeout)
    {
        return true;
    }
    return std::any_of(pkt.owners->former.begin(), pkt.owners->former.end(),
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
        return decide_unknown_address(make_flow_key(caller, address), hops);
    }
    packet pkt{make_flow_key(caller, address), owners, owners->current, hops};
    if (pkt.service == address_owners::none)
    {
        pkt.service = owners->former.front().service;
    }
    if (auto* entry = find_entry(pkt, address); entry != nullptr)
    {
        return decide_known(pkt, *entry);
    }
    return decide_unknown(pkt);
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
    index_.add_former_owner(address, index_.upstream(entry->upstream).service, now_);
    return index_.find_address(address);
}

decision steering::state::decide_unknown_address(std::uint64_t key, std::uint8_t hops)
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

bool steering::state::awaits_version(const service_slot& slot) const
{
    const auto since = slot.awaited_since();
    return since && now_ - *since < version_wait_limit;
}

bool steering::state::may_decide_alone(const packet& pkt, std::uint32_t& upstream) const
{
    const auto& slot = index_.service(pkt.service);
    if (pkt.hops > 0 || !pkt.owners->former.empty() || !slot.present || slot.draining || slot.history_full ||
        slot.address_uncertain || awaits_version(slot) || !exchange_.has_required_answers(revision_))
    {
        return false;
    }
    candidate_list candidates;
    if (!slot.choice.choose_all(pkt.key, candidates) || candidates[0] == no_upstream_index)
    {
        return false;
    }
    upstream = candidates[0];
    return accepts_new_flows(upstream) && !recently_unhealthy(upstream);
}

bool steering::state::is_resuming() const
{
    return resumed_at_ && !exchange_.has_peers() && now_ - *resumed_at_ < resume_delay;
}

decision steering::state::decide_unknown(const packet& pkt)
{
    if (is_resuming() || (pkt.hops > 0 && !ranking_.has_self()))
    {
        return drop(drop_reason::undecided);
    }
    if (std::uint32_t upstream = no_upstream_index; may_decide_alone(pkt, upstream))
    {
        auto& entry = table_.insert(pkt.key, now_, [&](const flow_entry& one) { return is_expired(one); });
        entry.upstream = upstream;
        return forward(pkt, upstream);
    }
    if (pkt.hops == 0)
    {
        if (const auto first = ranking_.first(index_.service(pkt.service).id, pkt.key))
        {
            return relay(*first);
        }
    }
    return decide_here(pkt);
}

decision steering::state::decide_here(const packet& pkt)
{
    const auto& slot = index_.service(pkt.service);
    const bool refused = in_transition(pkt) || !slot.present || slot.draining;
    const auto where = refused ? placement{} : plan_placement(pkt);
    const bool authoritative = is_authoritative(pkt.service, pkt.key) && !awaits_version(slot);
    if (!where.certain && !(refused && authoritative && !in_transition(pkt)))
    {
        if (const auto next = relay_to_next(pkt))
        {
            return *next;
        }
        if (must_wait(pkt))
        {
            return drop(drop_reason::undecided);
        }
    }
    if (in_transition(pkt))
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
    if (!where.certain && !pkt.owners->former.empty() && !authoritative)
    {
        // The flow may be one of the former owner that only another host knows.
        return drop(drop_reason::address_moved);
    }
    return place(pkt, where);
}

bool steering::state::lacks_answers() const
{
    return answers_missing_since_ && now_ - *answers_missing_since_ < answer_wait_limit;
}

bool steering::state::must_wait(const packet& pkt) const
{
    const auto& slot = index_.service(pkt.service);
    const bool outdated = awaits_version(slot) && now_ - *slot.awaited_since() < outdated_version_limit;
    const bool may_have_peers = without_peers_since_ && !exchange_.has_peers() && !is_sole_host();
    return outdated || lacks_answers() || may_have_peers || upstream_may_recover(pkt) ||
           exchange_.awaits_departed_peer(slot.changed_in);
}

bool steering::state::upstream_may_recover(const packet& pkt) const
{
    candidate_list candidates;
    const auto& choice = index_.service(pkt.service).choice;
    choice.choose_all(pkt.key, candidates);
    return std::any_of(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(choice.versions()),
                       [&](std::uint32_t one) { return one != no_upstream_index && may_recover(one); });
}

decision steering::state::place(const packet& pkt, const placement& where)
{
    if (where.upstream == no_upstream_index)
    {
        return drop(drop_reason::no_upstream);
    }
    auto& entry = table_.insert(pkt.key, now_, [&](const flow_entry& one) { return is_expired(one); });
    entry.upstream = where.upstream;
    candidate_list candidates;
    index_.service(pkt.service).choice.choose_all(pkt.key, candidates);
    const auto newest = candidates[0];
    entry.moved = newest != where.upstream && newest != no_upstream_index && recently_unhealthy(newest) ? 1 : 0;
    if (needs_record(pkt.key, entry))
    {
        entry.registered = 1;
        notify_record_holders(pkt.service, pkt.key);
    }
    return forward(pkt, where.upstream);
}

bool steering::state::is_record_holder(std::uint32_t service, std::uint64_t key) const
{
    const auto id = index_.service(service).id;
    if (exchange_.complete_for_set() && ranking_.self_keeps_records(id, key))
    {
        return true;
    }
    return complete_ranking_ && complete_ranking_->self_keeps_records(id, key);
}

bool steering::state::is_sole_host() const
{
    return !exchange_.has_peers() && without_peers_since_ && now_ - *without_peers_since_ >= sole_host_delay;
}

bool steering::state::is_authoritative(std::uint32_t service, std::uint64_t key) const
{
    if (!exchange_.has_peers())
    {
        return is_sole_host();
    }
    const auto& slot = index_.service(service);
    const bool stable = stable_complete_revision() >= slot.changed_in && now_ - slot.adopted_at >= record_latency;
    return stable && is_record_holder(service, key);
}

steering::state::placement steering::state::plan_placement(const packet& pkt) const
{
    const auto& slot = index_.service(pkt.service);
    candidate_list candidates;
    const bool agree = slot.choice.choose_all(pkt.key, candidates);
    const bool answers_complete = exchange_.has_required_answers(revision_) && !awaits_version(slot);
    const bool authoritative = is_authoritative(pkt.service, pkt.key);
    const auto settled = authoritative ? 0 : index_.version_of(pkt.service, slot.settled_tag);
    if (settled < slot.choice.versions())
    {
        auto result = plan_from_settled(pkt, candidates[settled], authoritative);
        const bool holder =
            authoritative || (answers_complete && !slot.bypassed && is_record_holder(pkt.service, pkt.key));
        result.certain = result.certain && holder && !awaits_version(slot);
        return result;
    }
    placement result{choose_open(pkt.service, pkt.key), false};
    result.certain = agree && !slot.history_full && !slot.address_uncertain && answers_complete &&
                     result.upstream == candidates[0] && result.upstream != no_upstream_index &&
                     !recently_unhealthy(result.upstream);
    return result;
}

steering::state::placement steering::state::plan_from_settled(const packet& pkt, std::uint32_t settled,
                                                              bool authoritative) const
{
    if (settled == no_upstream_index)
    {
        return {choose_open(pkt.service, pkt.key), authoritative};
    }
    const auto& upstream = index_.upstream(settled);
    const auto& slot = index_.service(pkt.service);
    const auto closed_at = upstream.closed_in == slot.changed_in ? slot.changed_at : upstream.closed_at;
    const bool in_grace = upstream.closed_in != 0 && now_ - closed_at < drain_grace;
    const bool usable = accepts_new_flows(settled) || (in_grace && upstream.reachable() && upstream.healthy);
    if (!usable)
    {
        return {choose_open(pkt.service, pkt.key), false};
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
