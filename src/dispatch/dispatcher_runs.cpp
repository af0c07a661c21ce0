#include "dispatcher_state.hpp"

#include <galenabay/base/invariant.hpp>

#include <algorithm>
#include <chrono>

namespace galenabay::dispatch
{

namespace
{

using namespace std::chrono_literals;

/// CoAP codes 5.03 and 5.00.
constexpr std::uint8_t code_unavailable = 0xa3;
constexpr std::uint8_t first_server_error = 0xa0;
constexpr std::size_t max_attempts = 3;
constexpr base::duration first_retry_delay = 5ms;
/// Time until a request that found no free upstream tries again.
constexpr base::duration busy_delay = 5ms;
constexpr base::duration min_hedge_delay = 10ms;
/// Delay of a hedge, as a multiple of the expected running time.
constexpr double hedge_delay_factor = 4;
/// A run that takes this many times longer than expected is cancelled and started
/// again at another upstream, if other requests wait for slots.
constexpr int restart_factor = 8;
constexpr base::duration min_restart_delay = 20ms;
/// Share of the slots that long requests may hold while short ones wait
/// (contended), and otherwise.
constexpr double long_share_contended = 0.6;
constexpr double long_share_uncontended = 0.85;

exchange_id exchange_of(const request& sent, const base::endpoint& upstream)
{
    return {upstream, sent.service_address, sent.caller, sent.token, sent.token_length};
}

std::vector<config::upstream_id> tried_upstreams(const open_request& open)
{
    std::vector<config::upstream_id> ids;
    for (const auto& run : open.runs)
    {
        ids.push_back(run.upstream);
    }
    return ids;
}

bool has_waiting_run(const open_request& open)
{
    return std::any_of(open.runs.begin(), open.runs.end(),
                       [](const upstream_run& run) { return run.state == run_state::waiting; });
}

} // namespace

bool dispatcher::state::allows_long(const service_state& service, base::time_point now) const
{
    const std::uint32_t usable = service.pool.usable_slots(now);
    const bool is_contended = service.queue.size() > service.queue.long_size();
    const double share = is_contended ? long_share_contended : long_share_uncontended;
    const auto limit = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(usable * share));
    return service.long_running < limit;
}

void dispatcher::state::start_waiting_requests(service_state& service, base::time_point now)
{
    start_pinned_requests(service, now);
    while (!service.queue.empty() && service.pool.has_free_slot(now))
    {
        const auto next = service.queue.pop(allows_long(service, now));
        if (!next)
        {
            return;
        }
        open_request& open = open_.at(next->key);
        open.phase = request_phase::backing_off;
        if (now + next->expected > open.deadline)
        {
            begin_refusal(service, open, refusal::deadline_unreachable, now);
            continue;
        }
        start(service, open, now);
    }
}

void dispatcher::state::start_pinned_requests(service_state& service, base::time_point now)
{
    for (auto place = service.pinned.begin(); place != service.pinned.end();)
    {
        open_request& open = open_.at(*place);
        const auto id = affinity_.find(routing_of(open.arrived));
        const config::upstream* target = id ? service.pool.find(*id) : nullptr;
        const bool must_refuse = target == nullptr || now >= open.deadline;
        const bool may_start = !must_refuse && service.pool.is_below_capacity(*id) &&
                               !exchanges_.is_open(exchange_of(open.arrived, target->endpoint));
        if (!must_refuse && !may_start)
        {
            ++place;
            continue;
        }
        place = service.pinned.erase(place);
        if (may_start)
        {
            send(service, open, *target, now);
            continue;
        }
        begin_refusal(service, open, target == nullptr ? refusal::no_upstream : refusal::deadline_unreachable, now);
    }
}

void dispatcher::state::start(service_state& service, open_request& open, base::time_point now)
{
    const auto preferred =
        may_have_blocks(open.arrived.method) ? affinity_.preferred(routing_of(open.arrived), now) : std::nullopt;
    if (preferred && open.runs.empty() && service.pool.has_free_slot(*preferred, now) &&
        !exchanges_.is_taken(exchange_of(open.arrived, service.pool.find(*preferred)->endpoint), now))
    {
        send(service, open, *service.pool.find(*preferred), now);
        return;
    }
    if (const config::upstream* target = choose_upstream(service, open, now))
    {
        send(service, open, *target, now);
        return;
    }
    if (!service.pool.has_other(tried_upstreams(open)))
    {
        begin_refusal(service, open, open.runs.empty() ? refusal::no_upstream : refusal::upstream_refused, now);
        return;
    }
    open.next_attempt = now + busy_delay;
}

const config::upstream* dispatcher::state::choose_upstream(service_state& service, const open_request& open,
                                                           base::time_point now)
{
    // Upstreams that may still answer an older request with the same token are
    // used only when there is no other.
    std::vector<config::upstream_id> avoided = tried_upstreams(open);
    std::vector<config::upstream_id> excluded = avoided;
    while (const config::upstream* target = service.pool.choose(avoided, now, random_))
    {
        const exchange_id exchange = exchange_of(open.arrived, target->endpoint);
        if (!exchanges_.is_taken(exchange, now))
        {
            return target;
        }
        const config::upstream_id id = config::id_of(service.settings, *target);
        avoided.push_back(id);
        if (exchanges_.is_open(exchange))
        {
            excluded.push_back(id);
        }
    }
    return service.pool.has_other(avoided) ? nullptr : service.pool.choose(excluded, now, random_);
}

void dispatcher::state::send(service_state& service, open_request& open, const config::upstream& target,
                             base::time_point now)
{
    const request& arrived = open.arrived;
    const config::upstream_id id = config::id_of(service.settings, target);
    GALENABAY_INVARIANT(now < open.deadline);
    GALENABAY_INVARIANT(is_idempotent(arrived.method) || (open.own_claim.is_granted && !open.may_have_run()));
    const auto ids = tried_upstreams(open);
    GALENABAY_INVARIANT(std::find(ids.begin(), ids.end(), id) == ids.end());
    if (open.runs.empty())
    {
        service.budget.on_first_send();
    }
    else
    {
        ++counters_.retried[static_cast<std::size_t>(open.retry)];
    }
    const bool is_long = service.estimator.is_long(arrived.method, arrived.path);
    service.long_running += is_long ? 1 : 0;
    open.runs.push_back({id, target.endpoint, now, run_state::waiting, is_long});
    open.phase = request_phase::running;
    exchanges_.open(exchange_of(arrived, target.endpoint), arrived.key, arrived.message_id);
    service.pool.on_sent(id);
    const bool may_hedge = is_idempotent(arrived.method) && !open.is_pinned && open.runs.size() == 1;
    open.next_attempt = may_hedge ? now + hedge_delay(service, arrived) : base::time_point::max();
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(open.deadline - now).count();
    out_.emplace_back(send_to_upstream{arrived.key, target.endpoint, arrived.service_address, arrived.caller,
                                       static_cast<std::uint32_t>(std::max<std::int64_t>(1, left)),
                                       static_cast<std::uint8_t>(open.runs.size()), arrived.bytes});
}

actions dispatcher::state::on_answer(const answer& arrived, base::time_point now)
{
    detect_pause(now);
    constexpr std::uint8_t empty_message = 0;
    const auto key = exchanges_.match(arrived, now);
    if (!key || arrived.code == empty_message)
    {
        counters_.stray_answers += arrived.code == empty_message ? 0 : 1;
        return take_actions();
    }
    open_request& open = open_.at(*key);
    service_state& service = *find_service(open.arrived.service);
    const auto run =
        std::find_if(open.runs.begin(), open.runs.end(),
                     [&](const upstream_run& candidate)
                     { return candidate.endpoint == arrived.upstream && candidate.state == run_state::waiting; });
    GALENABAY_INVARIANT(run != open.runs.end());
    exchanges_.close(exchange_table::id_of(arrived), arrived, now);
    if (arrived.code == code_unavailable)
    {
        run->state = run_state::refused;
        end_run(service, open, *run, run_outcome::refused, now);
        on_refused_by_upstream(service, open, now);
    }
    else
    {
        const config::upstream_id run_upstream = run->upstream;
        const bool has_failed = arrived.code >= first_server_error;
        if (!has_failed)
        {
            service.estimator.on_finished(open.arrived.method, open.arrived.path, now - run->sent);
        }
        run->state = run_state::abandoned;
        end_run(service, open, *run, has_failed ? run_outcome::failed : run_outcome::succeeded, now);
        forward_answer(service, open, arrived, run_upstream, now);
    }
    start_waiting_requests(service, now);
    return take_actions();
}

void dispatcher::state::forward_answer(service_state& service, open_request& open, const answer& arrived,
                                       config::upstream_id upstream, base::time_point now)
{
    const bool starts_transfer = arrived.more_blocks && may_have_blocks(open.arrived.method);
    if (starts_transfer && open.arrived.block == 0 && !may_serve_blocks(service, open.arrived, now))
    {
        // Later blocks could come from another upstream, so the answer is withheld
        // rather than delivered in part.
        end_refused(open, false, refusal::not_deciding, now);
        return;
    }
    if (starts_transfer)
    {
        affinity_.record(routing_of(open.arrived), upstream, now);
    }
    end_delivered(open, arrived, upstream, now);
}

bool dispatcher::state::expects(const answer& arrived) const
{
    return exchanges_.contains(exchange_table::id_of(arrived));
}

void dispatcher::state::on_health(config::upstream_id upstream, bool healthy)
{
    for (auto& [id, service] : services_)
    {
        service.pool.on_health(upstream, healthy);
    }
}

void dispatcher::state::on_refused_by_upstream(service_state& service, open_request& open, base::time_point now)
{
    if (has_waiting_run(open))
    {
        return;
    }
    const base::duration delay = retry_delay(open.runs.size());
    const bool is_queue_half_full = service.queue.size() * 2 > service.settings.requests.queue_limit;
    const bool may_retry = open.runs.size() < max_attempts && !open.is_pinned && !is_queue_half_full && !leaving_ &&
                           now + delay < open.deadline && service.pool.has_other(tried_upstreams(open)) &&
                           service.budget.take(now);
    if (!may_retry)
    {
        begin_refusal(service, open, refusal::upstream_refused, now);
        return;
    }
    open.phase = request_phase::backing_off;
    open.retry = retry_reason::upstream_refused;
    open.next_attempt = now + delay;
}

void dispatcher::state::end_run(service_state& service, const open_request& /*open*/, upstream_run& run,
                                run_outcome outcome, base::time_point now)
{
    service.pool.on_finished(run.upstream, outcome, now - run.sent, now, random_);
    service.long_running -= run.is_long ? 1 : 0;
}

void dispatcher::state::abandon_runs(service_state& service, open_request& open, base::time_point now)
{
    for (auto& run : open.runs)
    {
        if (run.state != run_state::waiting)
        {
            continue;
        }
        run.state = run_state::abandoned;
        const bool is_unanswered = !service.pool.has_answered_since(run.upstream, run.sent);
        exchanges_.abandon(exchange_of(open.arrived, run.endpoint), now);
        end_run(service, open, run, is_unanswered ? run_outcome::unanswered : run_outcome::cancelled, now);
        // A run that isn't idempotent isn't cancelled but left to its deadline: it
        // may be partly done.
        if (is_idempotent(open.arrived.method))
        {
            out_.emplace_back(cancel_at_upstream{open.arrived.key, run.endpoint, open.arrived.service_address,
                                                 open.arrived.caller, open.arrived.message_id});
        }
    }
}

void dispatcher::state::try_hedge(service_state& service, open_request& open, base::time_point now)
{
    open.next_attempt = now + min_hedge_delay;
    const bool is_contended = !service.queue.empty() || !service.pool.has_free_slot(now);
    if (is_contended)
    {
        try_restart_elsewhere(service, open, now);
        return;
    }
    const config::upstream* target = choose_upstream(service, open, now);
    if (target == nullptr || !service.budget.take(now))
    {
        return;
    }
    const upstream_run& first = open.runs.front();
    const bool is_gone = service.pool.find(first.upstream) == nullptr;
    const bool has_answered = service.pool.has_answered_since(first.upstream, first.sent);
    open.retry = is_gone        ? retry_reason::upstream_gone
                 : has_answered ? retry_reason::hedge
                                : retry_reason::upstream_silent;
    send(service, open, *target, now);
}

void dispatcher::state::try_restart_elsewhere(service_state& service, open_request& open, base::time_point now)
{
    const base::duration running = now - open.runs.front().sent;
    const base::duration expected = service.estimator.expected(open.arrived.method, open.arrived.path);
    const bool is_late = running >= std::max<base::duration>(min_restart_delay, expected * restart_factor);
    const bool is_queue_half_full = service.queue.size() * 2 > service.settings.requests.queue_limit;
    const bool is_only_choice = !service.pool.has_other(tried_upstreams(open));
    if (!is_late || is_queue_half_full || is_only_choice || now + expected > open.deadline || !service.budget.take(now))
    {
        return;
    }
    abandon_runs(service, open, now);
    open.retry = retry_reason::hedge;
    enqueue(service, open, now);
}

base::duration dispatcher::state::hedge_delay(const service_state& service, const request& arrived)
{
    const auto expected = static_cast<double>(service.estimator.expected(arrived.method, arrived.path).count());
    const double jitter = 1 + random_.unit() / 4;
    const base::duration delay{static_cast<base::duration::rep>(expected * hedge_delay_factor * jitter)};
    return std::max(min_hedge_delay, delay);
}

base::duration dispatcher::state::retry_delay(std::size_t attempts)
{
    const auto ceiling = static_cast<double>((first_retry_delay * (1U << std::min<std::size_t>(attempts, 6))).count());
    return base::duration{static_cast<base::duration::rep>(ceiling / 2 * (1 + random_.unit()))};
}

} // namespace galenabay::dispatch
