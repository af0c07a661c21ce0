#include "dispatcher_state.hpp"

#include <galenabay/base/invariant.hpp>

#include <algorithm>

namespace galenabay::dispatch
{

void dispatcher::state::begin_refusal(service_state& service, open_request& open, refusal reason, base::time_point now)
{
    open.phase = request_phase::refusing;
    open.next_attempt = base::time_point::max();
    open.refusal_reason = reason;
    if (open.may_have_run())
    {
        end_refused(open, false, refusal::outcome_unknown, now);
        return;
    }
    if (is_exclusive(open, now))
    {
        end_refused(open, true, reason, now);
        return;
    }
    if (!can_confirm_not_run(service, open.arrived, now))
    {
        end_refused(open, false, reason, now);
        return;
    }
    request_claim(service, open, now);
}

void dispatcher::state::end_refused(open_request& open, bool known_not_run, refusal reason, base::time_point now)
{
    GALENABAY_INVARIANT(!known_not_run || !open.may_have_run());
    const refuse reply = make_refusal(open.arrived, known_not_run, reason);
    out_.emplace_back(reply);
    finish(open, reply, now);
}

void dispatcher::state::end_delivered(open_request& open, const answer& arrived, config::upstream_id upstream,
                                      base::time_point now)
{
    ++counters_.delivered;
    const bool starts_transfer = arrived.more_blocks && may_have_blocks(open.arrived.method) && open.arrived.block == 0;
    const deliver reply{open.arrived.key, arrived.service_address, arrived.caller, arrived.bytes,
                        upstream,         starts_transfer};
    out_.emplace_back(reply);
    finish(open, reply, now);
}

void dispatcher::state::finish(open_request& open, const final_reply& reply, base::time_point now)
{
    service_state& service = *find_service(open.arrived.service);
    abandon_runs(service, open, now);
    GALENABAY_INVARIANT(service.open > 0);
    --service.open;
    const request_key key = open.arrived.key;
    finished_.add(key, reply, now);
    open_.erase(key);
}

refuse dispatcher::state::make_refusal(const request& arrived, bool known_not_run, refusal reason)
{
    ++counters_.refused[static_cast<std::size_t>(reason)];
    const service_state* service = find_service(arrived.service);
    const std::uint32_t base_age = service != nullptr ? service->settings.requests.max_age_s : 1;
    refuse reply;
    reply.key = arrived.key;
    reply.service_address = arrived.service_address;
    reply.caller = arrived.caller;
    reply.token = arrived.token;
    reply.token_length = arrived.token_length;
    reply.message_id = arrived.message_id;
    reply.confirmable = arrived.confirmable;
    reply.known_not_run = known_not_run;
    // Random between one and three times the configured age, so that callers
    // don't all retry at the same time.
    reply.max_age_s =
        std::max<std::uint32_t>(1, base_age) + static_cast<std::uint32_t>(random_.below(2 * base_age + 1));
    reply.reason = reason;
    return reply;
}

void dispatcher::state::refuse_as_unknown(const request& arrived, refusal reason)
{
    out_.emplace_back(make_refusal(arrived, false, reason));
}

} // namespace galenabay::dispatch
