#include <galenabay/steer/steerer.hpp>

#include "answer_time_sampler.hpp"
#include "flow_table.hpp"
#include "relative_answer_times.hpp"
#include "sent_packet_queue.hpp"
#include "shortage_state.hpp"
#include "steering_actions.hpp"
#include "syn_relays.hpp"
#include "upstream_evidence.hpp"
#include "upstream_selection.hpp"

#include <galenabay/base/invariant.hpp>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace galenabay::steer
{

namespace
{

/// Interval at which idle and closed flows are removed.
constexpr base::duration sweep_interval = std::chrono::seconds{1};

/// Returns true when sequence number `a` comes after `b`; sequence numbers wrap.
bool is_after(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

} // namespace

steerer::steerer(steering_options options, std::uint64_t seed)
    : options_{std::move(options)}, random_{seed}, registry_{options_.registry}, restarts_{options_.restarts},
      warm_ups_{options_.warm_ups}, evacuations_{options_.evacuation_bound.value_or(base::duration{0})},
      admission_{options_.clock_offset}, flows_{std::make_unique<flow_table>(options_.max_flows)},
      unanswered_syns_{std::make_unique<sent_packet_queue>()},
      unanswered_requests_{std::make_unique<sent_packet_queue>()}, shortage_{std::make_unique<shortage_state>()},
      relays_{std::make_unique<syn_relays>()}, links_{options_.data_centre, options_.links},
      answer_times_{std::make_unique<answer_time_sampler>(options_.data_centre)}
{
}

steerer::~steerer() = default;

std::size_t steerer::flow_count() const noexcept
{
    return flows_->size();
}

bool steerer::on_configuration(const configuration& next)
{
    // When memory runs out, all that is in force stays so, and the caller tries again.
    auto routes = routes_;
    if (!routes.adopt(next))
    {
        return false;
    }
    auto admissions = admission_;
    admissions.adopt(routes.admitted());
    auto totals = add_up(admissions.services());
    GALENABAY_INVARIANT(routes.version() > routes_.version());
    static_assert(std::is_nothrow_move_assignable_v<route_table> && std::is_nothrow_move_assignable_v<admission>);
    routes_ = std::move(routes);
    admission_ = std::move(admissions);
    totals_ = std::move(totals);
    return true;
}

bool steerer::on_evacuations(const evacuation_set& next, base::time_point now)
{
    const bool adopted = evacuations_.adopt(next, now);
    mark_returned(now);
    return adopted;
}

void steerer::mark_returned(base::time_point now)
{
    const auto returned = evacuations_.take_returned();
    if (returned.empty())
    {
        return;
    }
    registry_.for_each(
        [&](upstream_incarnation& upstream)
        {
            if (returned.contains(upstream.entry.data_centre))
            {
                upstream.cold_until = now + routes_.limits_of(upstream.entry.service).warm_up_time;
            }
        });
}

steerer::outcome steerer::on_upstream_list(const std::vector<upstream_entry>& entries, const store_revision& revision,
                                           base::time_point now)
{
    has_upstreams_ = true;
    return process_changes(registry_.replace_all(entries, revision, now), now);
}

void steerer::await_current_list(base::time_point now)
{
    if (has_upstreams_ && !outdated_at_)
    {
        outdated_at_ = now;
        awaits_list_ = true;
    }
}

steerer::outcome steerer::on_upstream(const upstream_entry& entry, base::time_point now)
{
    return process_changes({registry_.put(entry, now)}, now);
}

steerer::outcome steerer::on_upstream_removed(const std::string& id, const store_revision& revision,
                                              base::time_point now)
{
    return process_changes({registry_.remove(id, revision, now)}, now);
}

void steerer::release(flow_state& flow)
{
    auto* upstream = registry_.find(flow.token);
    if (upstream == nullptr || flow.closing)
    {
        return;
    }
    flow.closing = true;
    if (flow.unanswered)
    {
        return;
    }
    GALENABAY_INVARIANT(upstream->flows > 0);
    --upstream->flows;
    if (flow.waiting)
    {
        GALENABAY_INVARIANT(upstream->open_requests > 0);
        --upstream->open_requests;
    }
    flow.waiting = false;
}

steering_decision steerer::on_packet(const packet_header& header, base::time_point now)
{
    if (header.syn)
    {
        return on_syn(header, nullptr, now);
    }
    if (header.token == 0)
    {
        return drop(steering_reason::token_missing);
    }
    auto* upstream = registry_.find(header.token);
    if (upstream == nullptr)
    {
        return drop(steering_reason::token_unknown);
    }
    auto* flow = flows_->find(header.flow);
    if (upstream->ended)
    {
        upstream = find_continuation(*upstream, flow, now);
        if (upstream == nullptr)
        {
            return reset(header, steering_reason::upstream_ended);
        }
    }
    if (flow != nullptr && (flow->token != upstream->token || flow->was_reset))
    {
        release(*flow);
        flows_->erase(header.flow);
        flow = nullptr;
    }
    if (flow == nullptr && !header.fin && !header.rst)
    {
        flow = flows_->insert(header.flow);
        if (flow != nullptr)
        {
            // Its earlier requests went through other hosts.
            *flow = {.token = upstream->token,
                     .last_seen = now,
                     .opened_at = now,
                     .acknowledged = header.acknowledged,
                     .requests = 1,
                     .established = true};
            ++upstream->flows;
        }
    }
    if (flow != nullptr)
    {
        observe(*flow, *upstream, header, now);
    }
    return forward(*upstream, steering_reason::token);
}

void steerer::observe(flow_state& flow, upstream_incarnation& upstream, const packet_header& header,
                      base::time_point now)
{
    if (!flow.established)
    {
        // The first SYN may have been lost, and a copy of it gone through another host.
        flow.opened_at = now;
        upstream.flows += std::exchange(flow.unanswered, false) && !flow.closing ? 1 : 0;
        answer_time_sampler::on_handshake(flow, now);
    }
    flow.last_seen = now;
    const bool answered = is_after(header.acknowledged, flow.acknowledged) || !flow.established;
    if (answered)
    {
        flow.established = true;
        flow.acknowledged = header.acknowledged;
        record_answer(upstream, now);
        if (flow.waiting)
        {
            answer_times_->on_answer(flow, upstream, now);
            flow.answered_request_at = flow.pipelined ? flow.answered_request_at : flow.sent_at;
            flow.waiting = false;
            --upstream.open_requests;
        }
        flow.retransmissions = 0;
    }
    if (header.fin || header.rst)
    {
        check_rejected(flow, upstream, header, now);
        release(flow);
    }
    if (header.data_size == 0 || flow.closing)
    {
        return;
    }
    if (flow.sent_at == base::time_point{} || is_after(header.sequence, flow.sequence))
    {
        flow.sequence = header.sequence;
        flow.answer_start = header.acknowledged;
        flow.sent_at = now;
        flow.retransmissions = 0;
        flow.pipelined = flow.waiting;
        if (!flow.waiting)
        {
            flow.waiting = true;
            ++upstream.open_requests;
            answer_times_->on_request(flow, upstream);
            unanswered_requests_->push({.flow = header.flow, .token = upstream.token, .sent_at = now});
        }
    }
    else if (header.sequence == flow.sequence && !answered)
    {
        ++flow.retransmissions;
        on_retransmission(upstream, flow.sent_at, now);
        if (flow.retransmissions >= silence_retransmissions)
        {
            request_probe(upstream, now);
        }
    }
}

void steerer::on_pause(base::time_point now)
{
    answer_times_->on_pause(now);
    registry_.for_each([&](upstream_incarnation& upstream) { record_progress(upstream, now); });
    links_.on_pause();
    // None of them is evidence of a rejection, but those that stay without an answer must not count as open for long.
    unanswered_requests_->renew(now);
    warm_ups_.on_pause();
}

steerer::outcome steerer::on_tick(base::time_point now)
{
    if (now - last_tick_ > options_.pause_limit)
    {
        on_pause(now);
    }
    last_tick_ = now;
    awaits_list_ = awaits_list_ && now - *outdated_at_ < options_.current_list_wait;
    evacuations_.tick(now);
    mark_returned(now);
    check_unanswered_syns(now);
    check_abandoned_requests(now);
    check_links(now);
    update_avoidance(now);
    update_answer_times(now);
    update_totals(now);
    if (now - last_sweep_ >= sweep_interval)
    {
        last_sweep_ = now;
        expire_flows(now);
        relays_->expire(now);
        update_assumed_loads(now);
    }
    return process_changes(registry_.expire(now), now);
}

} // namespace galenabay::steer
