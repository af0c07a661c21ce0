#include <galenabay/steer/steerer.hpp>

#include "answer_time_sampler.hpp"
#include "flow_table.hpp"
#include "rejected_flows.hpp"
#include "relative_answer_times.hpp"
#include "sent_packet_queue.hpp"
#include "shortage_state.hpp"

#include <galenabay/base/invariant.hpp>

#include <algorithm>
#include <utility>
#include <vector>

// What counts as load of the upstreams: requests that callers have abandoned, flows that are no
// longer used, and how fast the upstreams answer.
namespace galenabay::steer
{

namespace
{

/// Time after which a caller whose request has not been acknowledged has sent it again: the first
/// retransmission timeout of 200 ms, and the tenth of a second for which a process with a CPU quota
/// may not run.
constexpr base::duration abandonment_limit = std::chrono::milliseconds{350};
/// Shortest time for which a request of several packets counts as open without an answer, where flows carry one
/// request. An upstream acknowledges every second packet, so that a caller may wait for the answer without sending
/// anything: the limit is several times what a full queue takes.
constexpr base::duration shortest_wait = std::chrono::milliseconds{1'000};
/// The same in multiples of the longest recent answer.
constexpr int waited_answers = 2;

} // namespace

void steerer::check_abandoned_requests(base::time_point now)
{
    std::vector<sent_packet_queue::sent_packet> still_waiting;
    unanswered_requests_->pop_older(now - abandonment_limit,
                                    [&](sent_packet_queue::sent_packet sent)
                                    {
                                        if (may_be_answered(sent.flow, sent.token, sent.sent_at, now))
                                        {
                                            sent.sent_at = now;
                                            still_waiting.push_back(sent);
                                        }
                                    });
    for (const auto& sent : still_waiting)
    {
        unanswered_requests_->push(sent);
    }
}

bool steerer::may_be_answered(const flow_key& key, upstream_token token, base::time_point sent_at, base::time_point now)
{
    auto* flow = flows_->find(key);
    auto* upstream = registry_.find(token);
    if (flow == nullptr || upstream == nullptr || upstream->ended || flow->token != token || !flow->waiting)
    {
        return false;
    }
    // An upstream acknowledges every second packet, so a caller repeats a request of one packet unless it is answered.
    // One that did neither got a reset from the upstream, which this host does not see: the upstream had no room. Such
    // requests counted as open until the flow's idle timeout, so that a service looked full for 15 s after a burst.
    if (flow->sent_at == sent_at && flow->retransmissions == 0)
    {
        stop_waiting(*flow, *upstream);
        record_rejection(*upstream, now);
        ++shortage_->rejected_flows;
        return false;
    }
    const auto limit = answer_wait(upstream->entry.service);
    if (limit && now - flow->last_seen >= *limit)
    {
        stop_waiting(*flow, *upstream);
        return false;
    }
    return limit.has_value();
}

std::optional<base::duration> steerer::answer_wait(const std::string& service) const
{
    const auto longest = answer_times_->longest_answer(service);
    if (!answer_times_->has_short_flows(service) || longest == base::duration{0})
    {
        return std::nullopt;
    }
    return std::max(shortest_wait, waited_answers * longest);
}

void steerer::stop_waiting(flow_state& flow, upstream_incarnation& upstream)
{
    flow.waiting = false;
    --upstream.open_requests;
}

void steerer::stop_counting(flow_state& flow, upstream_incarnation& upstream)
{
    // An upstream without room refuses a SYN, which this host does not see. Such flows counted until the idle timeout:
    // after a burst, upstreams without a flow seemed to hold their limit of flows for 15 s.
    if (!flow.closing && !std::exchange(flow.unanswered, true))
    {
        GALENABAY_INVARIANT(upstream.flows > 0);
        --upstream.flows;
    }
}

void steerer::expire_flows(base::time_point now)
{
    const auto idle_limit = routes_.idle_timeout();
    flows_->erase_if(
        [&](const flow_key&, flow_state& flow)
        {
            const auto unused = now - flow.last_seen;
            if (unused < (flow.closing || flow.unanswered ? options_.closed_flow_retention : idle_limit))
            {
                return false;
            }
            release(flow);
            return true;
        });
}

void steerer::update_answer_times(base::time_point now)
{
    if (!options_.learned_capacity || now - last_answer_time_update_ < answer_time_interval)
    {
        return;
    }
    last_answer_time_update_ = now;
    const auto changes = update_relative_answer_times(
        registry_, [this](const std::string& service) { return answer_times_->may_have_short_flows(service); }, now);
    slow_count_ = changes.slow;
    slowed_.insert(slowed_.end(), changes.slowed.begin(), changes.slowed.end());
}

} // namespace galenabay::steer
