#include "dispatcher_state.hpp"

#include <galenabay/base/hash.hpp>

#include <algorithm>
#include <chrono>

namespace galenabay::dispatch
{

namespace
{

using namespace std::chrono_literals;

/// Minimum time between two retransmissions of a request that are relayed to the
/// holder of its claim.
constexpr base::duration relay_interval = 1s;
/// Maximum number of open requests, as a multiple of the queue limit.
constexpr std::uint32_t max_open_factor = 4;

} // namespace

actions dispatcher::state::on_request(const request& arrived, bool relayed, base::time_point now)
{
    detect_pause(now);
    ++counters_.requests;
    if (const auto known = open_.find(arrived.key); known != open_.end())
    {
        on_duplicate_request(known->second);
        return take_actions();
    }
    if (finished_.contains(arrived.key))
    {
        resend_reply(arrived, now);
        return take_actions();
    }
    if (remote_claim* existing_claim = claims_.find(arrived.key))
    {
        on_claimed_elsewhere(*existing_claim, arrived, now);
        return take_actions();
    }
    service_state* service = find_service(arrived.service);
    if (service == nullptr)
    {
        refuse_as_unknown(arrived, refusal::no_upstream);
        return take_actions();
    }
    route(*service, arrived, relayed, now);
    return take_actions();
}

void dispatcher::state::on_duplicate_request(open_request& /*open*/)
{
    // The pending reply answers the retransmission too.
    ++counters_.retransmissions;
}

void dispatcher::state::resend_reply(const request& arrived, base::time_point now)
{
    ++counters_.retransmissions;
    const auto reply = finished_.reply(arrived.key);
    if (!reply || !may_resend(*reply, arrived, now))
    {
        refuse_as_unknown(arrived, refusal::outcome_unknown);
        return;
    }
    std::visit([this](const auto& value) { out_.emplace_back(value); }, *reply);
}

bool dispatcher::state::may_resend(const final_reply& reply, const request& arrived, base::time_point now)
{
    const service_state* service = find_service(arrived.service);
    if (service == nullptr)
    {
        return false;
    }
    if (const auto* refused = std::get_if<refuse>(&reply))
    {
        // An idempotent request may have run elsewhere, without a claim, since it
        // was refused as not run.
        const bool needs_check = refused->known_not_run && is_idempotent(arrived.method);
        return !needs_check || can_confirm_not_run(*service, arrived, now);
    }
    // The first block is useful only while later ones come from the same upstream.
    const auto& answered = std::get<deliver>(reply);
    return !answered.starts_transfer ||
           (may_serve_blocks(*service, arrived, now) && affinity_.find(routing_of(arrived)) == answered.upstream);
}

void dispatcher::state::on_claimed_elsewhere(remote_claim& existing_claim, const request& arrived, base::time_point now)
{
    ++counters_.retransmissions;
    if (existing_claim.holder == settings_.self || !hosts_.is_live(existing_claim.holder))
    {
        refuse_as_unknown(arrived, refusal::outcome_unknown);
        return;
    }
    if (existing_claim.last_relayed != base::time_point::min() && now - existing_claim.last_relayed < relay_interval)
    {
        return;
    }
    existing_claim.last_relayed = now;
    relay(arrived, existing_claim.holder);
}

void dispatcher::state::route(service_state& service, const request& arrived, bool relayed, base::time_point now)
{
    if (relayed && !leaving_)
    {
        admit(service, arrived, now);
        return;
    }
    const auto decider = decider_of(service, arrived, now);
    const bool is_repeated = leaving_ && !relayed_while_leaving_.insert(arrived.key).second;
    if (!decider || (relayed && is_repeated))
    {
        refuse_as_unknown(arrived, leaving_ ? refusal::host_leaving : refusal::no_deciding_host);
        return;
    }
    if (*decider == settings_.self)
    {
        admit(service, arrived, now);
        return;
    }
    relay(arrived, *decider);
}

std::uint64_t dispatcher::state::routing_of(const request& arrived) const
{
    // The requests for all blocks of an answer have to reach the host that has
    // recorded which upstream served the first one.
    return may_have_blocks(arrived.method)
               ? base::mix(base::hash_endpoint(arrived.caller, arrived.service), arrived.path)
               : base::mix(arrived.key, arrived.service);
}

std::optional<std::string> dispatcher::state::decider_of(const service_state& service, const request& arrived,
                                                         base::time_point now) const
{
    const shard* home = service.map.home(routing_of(arrived));
    if (home == nullptr)
    {
        return first_host_of(service, settings_.data_centre);
    }
    auto decider = first_host_of(service, home->data_centre);
    // Only after `settle_time` has the home detected the partition too, so that
    // it no longer confirms that requests decided elsewhere did not run.
    const bool may_run_elsewhere = is_idempotent(arrived.method) &&
                                   hosts_.is_data_centre_unreachable(home->data_centre, settings_.settle_time, now);
    if (decider || !may_run_elsewhere)
    {
        return decider;
    }
    if (service.map.find(settings_.data_centre) != nullptr)
    {
        decider = first_host_of(service, settings_.data_centre);
    }
    for (const auto& other : service.map.shards())
    {
        decider = decider ? decider : first_host_of(service, other.data_centre);
    }
    return decider;
}

void dispatcher::state::relay(const request& arrived, const std::string& host)
{
    ++counters_.relayed;
    out_.emplace_back(relay_request{arrived.key, host, arrived.service_address, arrived.caller, arrived.bytes});
}

void dispatcher::state::admit(service_state& service, const request& arrived, base::time_point now)
{
    const auto& policy = service.settings.requests;
    if (service.open >= policy.queue_limit * max_open_factor + service.pool.usable_slots(now))
    {
        refuse_as_unknown(arrived, refusal::queue_full);
        return;
    }
    open_request& open = open_[arrived.key];
    ++service.open;
    open.arrived = arrived;
    open.deadline = now + std::chrono::milliseconds{policy.deadline_ms};
    open.own_claim.sequence = next_sequence_++;
    if (service.settings.draining)
    {
        begin_refusal(service, open, refusal::service_draining, now);
        return;
    }
    resume(service, open, now);
}

bool dispatcher::state::needs_pinning(const request& arrived, base::time_point now) const
{
    if (!may_have_blocks(arrived.method))
    {
        return false;
    }
    const std::uint64_t transfer = routing_of(arrived);
    return arrived.block > 0 || (affinity_.is_active(transfer, now) && affinity_.find(transfer));
}

bool dispatcher::state::may_serve_blocks(const service_state& service, const request& arrived,
                                         base::time_point now) const
{
    // If two hosts both acted as the deciding one, a transfer could mix blocks of
    // two upstreams. So only the home's deciding host serves transfers, and only
    // once the last change has had time to reach all hosts.
    const shard* home = service.map.home(routing_of(arrived));
    return home != nullptr && home->data_centre == settings_.data_centre &&
           first_host_of(service, settings_.data_centre) == settings_.self &&
           now - deciders_changed_ >= settings_.settle_time;
}

void dispatcher::state::reset_block_affinity(base::time_point now)
{
    affinity_.clear();
    deciders_changed_ = now;
}

void dispatcher::state::enqueue(service_state& service, open_request& open, base::time_point now)
{
    if (open.runs.empty() && needs_pinning(open.arrived, now))
    {
        enqueue_pinned(service, open, now);
        return;
    }
    open.is_pinned = false;
    if (!service.pool.has_other({}))
    {
        begin_refusal(service, open, refusal::no_upstream, now);
        return;
    }
    const request& arrived = open.arrived;
    const request_key key = arrived.key;
    const base::duration expected = service.estimator.expected(arrived.method, arrived.path);
    const bool is_long = service.estimator.is_long(arrived.method, arrived.path);
    open.phase = request_phase::queued;
    open.next_attempt = base::time_point::max();
    open.position = service.queue.push({arrived.key, arrived.caller, expected, is_long});
    const base::duration wait =
        service.queue.work_before(open.position) / std::max<std::uint32_t>(1, service.pool.usable_slots(now));
    if (now + wait + expected > open.deadline)
    {
        leave_queue(service, open);
        begin_refusal(service, open, refusal::deadline_unreachable, now);
        return;
    }
    start_waiting_requests(service, now);
    if (service.queue.size() > service.settings.requests.queue_limit)
    {
        const request_key last = service.queue.last()->key;
        open_request& evicted = open_.at(last);
        leave_queue(service, evicted);
        begin_refusal(service, evicted, last == key ? refusal::queue_full : refusal::caller_over_share, now);
    }
}

void dispatcher::state::leave_queue(service_state& service, open_request& open)
{
    if (open.phase == request_phase::queued && !open.is_pinned)
    {
        service.queue.erase(open.position);
    }
    std::erase(service.pinned, open.arrived.key);
    open.phase = request_phase::backing_off;
}

void dispatcher::state::enqueue_pinned(service_state& service, open_request& open, base::time_point now)
{
    const auto upstream = affinity_.find(routing_of(open.arrived));
    const bool is_known =
        upstream && service.pool.find(*upstream) != nullptr && may_serve_blocks(service, open.arrived, now);
    if (!is_known)
    {
        begin_refusal(service, open, refusal::no_upstream, now);
        return;
    }
    if (service.pinned.size() >= service.settings.requests.queue_limit)
    {
        begin_refusal(service, open, refusal::queue_full, now);
        return;
    }
    if (open.arrived.block > 0)
    {
        affinity_.on_later_block(routing_of(open.arrived), now);
    }
    open.phase = request_phase::queued;
    open.is_pinned = true;
    service.pinned.push_back(open.arrived.key);
    start_waiting_requests(service, now);
}

} // namespace galenabay::dispatch
