#include "dispatcher_state.hpp"

#include <galenabay/base/hash.hpp>

#include <algorithm>
#include <chrono>

namespace galenabay::dispatch
{

namespace
{

using namespace std::chrono_literals;

constexpr base::duration intent_interval = 20ms;
/// Time after which the acknowledgement of a witness is no longer needed, when
/// another one has acknowledged.
constexpr base::duration witness_timeout = 500ms;

} // namespace

bool dispatcher::state::is_recently_started(base::time_point now) const
{
    return now - last_start_or_pause_ < settings_.retransmission_span;
}

bool dispatcher::state::has_settled(base::time_point now) const
{
    return now - last_start_or_pause_ >= settings_.settle_time;
}

bool dispatcher::state::may_run_unwitnessed(base::time_point now) const
{
    return !hosts_.is_any_host_missing(settings_.retransmission_span, now);
}

bool dispatcher::state::needs_claim(const service_state& service, const request& arrived, base::time_point now) const
{
    // Until it has received the others' reports, a host may wrongly act as the
    // deciding one; until they have received its reports, they may confirm that
    // a request did not run although it ran here; and hosts on another revision
    // may select other deciding hosts.
    const bool is_established = has_settled(now) && deciding_since_ && now - *deciding_since_ >= settings_.settle_time;
    return !is_idempotent(arrived.method) || !is_established || has_other_home(service, arrived);
}

std::vector<std::string> dispatcher::state::other_homes(const service_state& service, const request& arrived) const
{
    std::vector<std::string> names;
    const auto add = [&](const shard_map& map)
    {
        const shard* home = map.home(routing_of(arrived));
        if (home != nullptr && home->data_centre != settings_.data_centre)
        {
            names.push_back(home->data_centre);
        }
    };
    add(service.map);
    for (const auto& old : service.former_maps)
    {
        add(old.map);
    }
    return names;
}

std::optional<std::string> dispatcher::state::first_host_of(const service_state& service,
                                                            const std::string& data_centre) const
{
    const auto ranked = service.deciders.find(data_centre);
    const bool has_host = ranked != service.deciders.end() && !ranked->second.empty();
    return has_host ? std::optional{ranked->second.front()} : std::nullopt;
}

bool dispatcher::state::has_other_home(const service_state& service, const request& arrived) const
{
    const auto homes = other_homes(service, arrived);
    return std::any_of(homes.begin(), homes.end(), [&](const auto& name) { return first_host_of(service, name); });
}

bool dispatcher::state::collect_witnesses(const service_state& service, const request& arrived,
                                          std::vector<claim_witness>& witnesses, base::time_point now) const
{
    bool is_complete = true;
    const auto add = [&](const std::string& name, bool is_required)
    {
        const bool is_known = std::any_of(witnesses.begin(), witnesses.end(),
                                          [&](const claim_witness& witness) { return witness.host == name; });
        if (!is_known)
        {
            witnesses.push_back({name, false, is_required});
        }
    };
    for (const auto& home : other_homes(service, arrived))
    {
        const auto host = first_host_of(service, home);
        is_complete = is_complete && host;
        if (host)
        {
            add(*host, !is_idempotent(arrived.method));
        }
    }
    for (const auto& name : service.witnesses)
    {
        add(name, false);
    }
    if (is_recently_started(now))
    {
        // The neighbours may have started recently too and lack records.
        for (const auto& name : service.remote_witnesses)
        {
            add(name, false);
        }
    }
    return is_complete || is_idempotent(arrived.method);
}

void dispatcher::state::request_claim(service_state& service, open_request& open, base::time_point now)
{
    open.own_claim.is_granted = false;
    open.own_claim.requested_at = now;
    open.own_claim.witnesses.clear();
    if (!collect_witnesses(service, open.arrived, open.own_claim.witnesses, now))
    {
        end_refused(open, false, refusal::no_deciding_host, now);
        return;
    }
    open.own_claim.next_send = now + intent_interval;
    send_intents(open);
    update_claim(service, open, now);
}

void dispatcher::state::refresh_claim(service_state& service, open_request& open, base::time_point now)
{
    std::vector<claim_witness> next;
    if (!collect_witnesses(service, open.arrived, next, now))
    {
        end_refused(open, false, refusal::no_deciding_host, now);
        return;
    }
    for (auto& witness : next)
    {
        const auto known = std::find_if(open.own_claim.witnesses.begin(), open.own_claim.witnesses.end(),
                                        [&](const claim_witness& w) { return w.host == witness.host; });
        witness.acknowledged = known != open.own_claim.witnesses.end() && known->acknowledged;
    }
    open.own_claim.witnesses = std::move(next);
    open.own_claim.next_send = now + intent_interval;
    send_intents(open);
    update_claim(service, open, now);
}

void dispatcher::state::send_intents(const open_request& open)
{
    const bool is_refusing = open.phase == request_phase::refusing;
    for (const auto& witness : open.own_claim.witnesses)
    {
        if (!witness.acknowledged)
        {
            ++counters_.intents_sent;
            const auto to_run = witness.is_required ? intent_to_run_elsewhere : intent_to_run;
            out_.emplace_back(send_intent{witness.host, open.arrived.key, is_refusing ? intent_to_refuse : to_run,
                                          open.own_claim.sequence});
        }
    }
}

bool dispatcher::state::is_granted(const open_request& open, base::time_point now) const
{
    const claim& own_claim = open.own_claim;
    // A host that lost its record of what it ran needs the acknowledgements of
    // all hosts that may have one.
    const bool may_lack_history = !is_idempotent(open.arrived.method) && is_recently_started(now);
    if (may_lack_history && hosts_.is_witness_missing(settings_.retransmission_span, now))
    {
        return false;
    }
    if (!has_settled(now))
    {
        return false;
    }
    if (own_claim.witnesses.empty())
    {
        return may_run_unwitnessed(now);
    }
    const auto acknowledged = static_cast<std::size_t>(std::count_if(
        own_claim.witnesses.begin(), own_claim.witnesses.end(), [](const auto& w) { return w.acknowledged; }));
    const bool is_late = now - own_claim.requested_at >= witness_timeout;
    const bool lacks_required = std::any_of(own_claim.witnesses.begin(), own_claim.witnesses.end(),
                                            [](const auto& w) { return w.is_required && !w.acknowledged; });
    return acknowledged == own_claim.witnesses.size() ||
           (is_late && acknowledged > 0 && !may_lack_history && !lacks_required);
}

void dispatcher::state::update_claim(service_state& service, open_request& open, base::time_point now)
{
    if (is_granted(open, now))
    {
        open.own_claim.is_granted = true;
        record_own_claim(open.arrived.key, now);
        on_granted(service, open, now);
    }
}

void dispatcher::state::on_granted(service_state& service, open_request& open, base::time_point now)
{
    if (open.phase == request_phase::refusing)
    {
        // A host may have gone missing since the intents were sent.
        end_refused(open, can_confirm_not_run(service, open.arrived, now), open.refusal_reason, now);
        return;
    }
    if (leaving_)
    {
        begin_refusal(service, open, refusal::host_leaving, now);
        return;
    }
    enqueue(service, open, now);
}

void dispatcher::state::on_claim_refused(service_state& service, open_request& open, base::time_point now)
{
    ++counters_.intents_refused;
    if (open.phase == request_phase::refusing)
    {
        end_refused(open, false, refusal::outcome_unknown, now);
        return;
    }
    if (open.phase == request_phase::queued || open.phase == request_phase::backing_off)
    {
        leave_queue(service, open);
    }
    open.next_attempt = base::time_point::max();
    open.phase = request_phase::claimed_elsewhere;
}

bool dispatcher::state::is_exclusive(const open_request& open, base::time_point now) const
{
    return !is_idempotent(open.arrived.method) && open.own_claim.is_granted && !open.own_claim.witnesses.empty() &&
           !is_recently_started(now);
}

bool dispatcher::state::can_confirm_not_run(const service_state& service, const request& arrived,
                                            base::time_point now) const
{
    const base::duration span = settings_.retransmission_span;
    const bool has_witness = !service.witnesses.empty();
    if (!is_idempotent(arrived.method))
    {
        return has_witness || (!is_recently_started(now) && may_run_unwitnessed(now));
    }
    // An idempotent request runs without a claim, so every host that may have run
    // it has to be alive and to have been asked.
    const shard* home = service.map.home(routing_of(arrived));
    const bool is_home = home != nullptr && home->data_centre == settings_.data_centre;
    return is_home && service.former_maps.empty() && !is_recently_started(now) &&
           !hosts_.was_neighbour_missing(span, now) && !hosts_.was_data_centre_missing(span, now);
}

actions dispatcher::state::on_intent_reply(const std::string& from, request_key key, std::uint64_t sequence,
                                           bool accepted, base::time_point now)
{
    detect_pause(now);
    replicator_.on_reply({from, key});
    const auto place = open_.find(key);
    if (place == open_.end() || place->second.own_claim.sequence != sequence)
    {
        return take_actions();
    }
    open_request& open = place->second;
    service_state& service = *find_service(open.arrived.service);
    const auto witness = std::find_if(open.own_claim.witnesses.begin(), open.own_claim.witnesses.end(),
                                      [&](const claim_witness& w) { return w.host == from; });
    const bool awaits_witnesses = open.phase == request_phase::claiming || open.phase == request_phase::refusing;
    const bool is_unsent =
        awaits_witnesses || open.phase == request_phase::queued || open.phase == request_phase::backing_off;
    if (witness == open.own_claim.witnesses.end() || !is_unsent)
    {
        return take_actions();
    }
    if (!accepted)
    {
        on_claim_refused(service, open, now);
        return take_actions();
    }
    witness->acknowledged = true;
    if (awaits_witnesses)
    {
        update_claim(service, open, now);
    }
    return take_actions();
}

actions dispatcher::state::on_intent(const std::string& from, request_key key, config::upstream_id upstream,
                                     std::uint64_t sequence, base::time_point now)
{
    detect_pause(now);
    const bool accepted = evaluate_intent(from, key, upstream, sequence, now);
    out_.emplace_back(send_intent_reply{from, key, sequence, accepted});
    return take_actions();
}

bool dispatcher::state::evaluate_intent(const std::string& from, request_key key, config::upstream_id intent,
                                        std::uint64_t sequence, base::time_point now)
{
    if (finished_.contains(key))
    {
        const auto reply = finished_.reply(key);
        if (const auto* answered = reply ? std::get_if<deliver>(&*reply) : nullptr;
            answered != nullptr && !answered->starts_transfer)
        {
            out_.emplace_back(*answered);
        }
        return false;
    }
    if (const auto own = open_.find(key); own != open_.end())
    {
        open_request& open = own->second;
        if (open.phase == request_phase::claiming && yields_to(from, open))
        {
            open.phase = request_phase::claimed_elsewhere;
        }
        if (open.phase != request_phase::claimed_elsewhere)
        {
            return false;
        }
    }
    const bool needs_history = intent != intent_to_run;
    const bool may_have_missed_runs =
        is_recently_started(now) ||
        (intent == intent_to_run_elsewhere && hosts_.was_neighbour_missing(settings_.retransmission_span, now));
    if (needs_history && may_have_missed_runs)
    {
        return false;
    }
    return claims_.accept(key, from, sequence, now);
}

bool dispatcher::state::yields_to(const std::string& from, const open_request& open) const
{
    const request_key key = open.arrived.key;
    return base::mix(base::hash_text(from), key) > base::mix(base::hash_text(settings_.self), key);
}

} // namespace galenabay::dispatch
