#include "dispatcher_state.hpp"

#include <galenabay/base/hash.hpp>

#include <chrono>
#include <utility>

namespace galenabay::dispatch
{

namespace
{

using namespace std::chrono_literals;

/// Time that witnesses have to confirm a refusal; after it the outcome is reported
/// as unknown.
constexpr base::duration refusal_timeout = 200ms;

} // namespace

dispatcher::state::state(dispatcher_settings settings)
    : settings_{std::move(settings)}, random_{base::mix(settings_.seed, base::hash_text(settings_.self))},
      hosts_{settings_.self, settings_.data_centre}, finished_{settings_.reply_retention, settings_.key_retention},
      claims_{settings_.key_retention}, exchanges_{settings_.reply_retention},
      affinity_{settings_.reply_retention, settings_.retransmission_span}, next_sequence_{random_()}
{
}

service_state* dispatcher::state::find_service(config::service_id id)
{
    const auto place = services_.find(id);
    return place == services_.end() ? nullptr : &place->second;
}

actions dispatcher::state::take_actions()
{
    return std::exchange(out_, {});
}

void dispatcher::state::detect_pause(base::time_point now)
{
    if (!last_tick_)
    {
        last_start_or_pause_ = now;
        last_tick_ = now;
        return;
    }
    if (now - *last_tick_ > settings_.pause_limit)
    {
        last_tick_ = now;
        on_pause(now);
    }
}

void dispatcher::state::on_pause(base::time_point now)
{
    last_start_or_pause_ = now;
    reset_block_affinity(now);
    for (auto& [key, open] : open_)
    {
        service_state& service = *find_service(open.arrived.service);
        const bool is_waiting = open.phase == request_phase::queued || open.phase == request_phase::backing_off;
        if (is_waiting && !is_idempotent(open.arrived.method))
        {
            leave_queue(service, open);
            open.phase = request_phase::claiming;
        }
        open.own_claim.is_granted = false;
        open.own_claim.requested_at = now;
        open.own_claim.next_send = now;
        for (auto& witness : open.own_claim.witnesses)
        {
            witness.acknowledged = false;
        }
    }
}

actions dispatcher::state::on_tick(base::time_point now)
{
    detect_pause(now);
    last_tick_ = now;
    finished_.on_tick(now);
    claims_.on_tick(now);
    exchanges_.on_tick(now);
    affinity_.on_tick(now);
    std::vector<request_key> keys;
    keys.reserve(open_.size());
    for (const auto& [key, open] : open_)
    {
        keys.push_back(key);
    }
    for (const request_key key : keys)
    {
        if (const auto place = open_.find(key); place != open_.end())
        {
            advance(*find_service(place->second.arrived.service), place->second, now);
        }
    }
    for (auto& [id, service] : services_)
    {
        start_waiting_requests(service, now);
    }
    send_replicated_claims(now);
    return take_actions();
}

void dispatcher::state::advance(service_state& service, open_request& open, base::time_point now)
{
    if (now >= open.deadline)
    {
        expire(service, open, now);
        return;
    }
    switch (open.phase)
    {
    case request_phase::refusing:
        if (now - open.own_claim.requested_at >= refusal_timeout)
        {
            end_refused(open, false, open.refusal_reason, now);
            return;
        }
        [[fallthrough]];
    case request_phase::claiming:
        if (now >= open.own_claim.next_send)
        {
            refresh_claim(service, open, now);
        }
        return;
    case request_phase::backing_off:
        if (now >= open.next_attempt)
        {
            resume(service, open, now);
        }
        return;
    case request_phase::running:
        if (now >= open.next_attempt && open.runs.size() == 1)
        {
            try_hedge(service, open, now);
        }
        return;
    case request_phase::queued:
    case request_phase::claimed_elsewhere:
        return;
    }
}

void dispatcher::state::resume(service_state& service, open_request& open, base::time_point now)
{
    if (open.own_claim.is_granted || !needs_claim(service, open.arrived, now))
    {
        enqueue(service, open, now);
        return;
    }
    open.phase = request_phase::claiming;
    request_claim(service, open, now);
}

void dispatcher::state::expire(service_state& service, open_request& open, base::time_point now)
{
    if (open.phase == request_phase::queued || open.phase == request_phase::backing_off)
    {
        leave_queue(service, open);
    }
    const bool is_exclusive_now = !open.may_have_run() && is_exclusive(open, now);
    end_refused(open, is_exclusive_now, is_exclusive_now ? refusal::deadline_unreachable : refusal::outcome_unknown,
                now);
}

} // namespace galenabay::dispatch
