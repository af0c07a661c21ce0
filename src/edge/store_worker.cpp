#include "store_worker.hpp"

#include "guarded_step.hpp"
#include "peer_state.hpp"

#include <galenabay/base/log.hpp>
#include <galenabay/base/steady_clock.hpp>
#include <galenabay/peers/message_codec.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace galenabay::edge
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

/// Pause before an update is pushed again to a full ring.
constexpr milliseconds ring_retry_pause{5};
/// Longest single sleep, after which the stop flag is checked again.
constexpr milliseconds max_sleep{100};
/// Longest wait for work of a host that does not watch the store.
constexpr milliseconds idle_wait{1'000};
/// Wait of a watch that is a single read and does not wait for changes.
constexpr milliseconds single_read_wait{1};
/// Longest wait for another host, which is 1 ms away: with the read of the store that
/// follows a failure it stays below the configuration bound of 3 s.
constexpr milliseconds peer_timeout{500};

milliseconds to_milliseconds(base::duration time)
{
    return std::chrono::duration_cast<milliseconds>(time);
}

/// Returns the revision of the latest change among the objects of a page.
std::uint64_t last_change_of(const adapter::store_page& page)
{
    std::uint64_t last = 0;
    for (const auto& object : page.objects)
    {
        last = std::max(last, object.revision.number);
    }
    return last;
}

} // namespace

store_worker::store_worker(adapter::object_kind kind, store_watch_options options, std::uint64_t seed,
                           shared_state& state, edge_metrics& metrics, update_ring& updates,
                           net::wakeup_event& consumer)
    : kind_{kind}, options_{options}, watch_{options, seed}, state_{state}, metrics_{metrics}, updates_{updates},
      consumer_{consumer}, thread_{[this] { run(); }}
{
}

store_worker::~store_worker()
{
    thread_.join();
}

void store_worker::run()
{
    while (!state_.stopping())
    {
        if (!run_guarded(name_of(kind_), metrics_.thread_failures, [this] { run_step(); }))
        {
            // What the step had read may be lost; a list contains it.
            watch_.on_failure(base::error_code::malformed, base::steady_now());
            state_.store_reachable(kind_).store(false);
        }
    }
}

void store_worker::run_step()
{
    if (state_.take_list_request(kind_))
    {
        watch_.on_incomplete_changes(base::steady_now());
    }
    const auto call = watch_.next();
    const bool wants_current = state_.wants_current_list(kind_);
    if (wants_current && watch_.has_current_list())
    {
        state_.request_current_list(false);
        return;
    }
    const bool follows = !watch_.has_list() || state_.follows.load() || wants_current;
    // A store that has returned from an older copy lacks an accepted configuration until the
    // operator writes it again. Other hosts may have it; versions are not given out again.
    const bool is_configuration = kind_ == adapter::object_kind::configuration;
    if (!follows || is_configuration || watch_.failures() > 0)
    {
        const auto peer = state_.take_read_request(kind_);
        const bool has_read = peer && read_from_peer(*peer);
        if (!follows && (!peer || has_read))
        {
            state_.wait_for_work(kind_, idle_wait);
            return;
        }
    }
    if (const auto now = base::steady_now(); now < call.not_before)
    {
        std::this_thread::sleep_for(std::min<base::duration>(call.not_before - now, max_sleep));
        return;
    }
    auto client = adapter::store_client::make(state_.store(), kind_, store_answer_timeout);
    perform(client, call, follows ? options_.watch_wait : single_read_wait);
}

void store_worker::perform(adapter::store_client& client, const store_call& call, base::duration watch_wait)
{
    metrics_.store_calls(kind_).Increment();
    if (call.what == store_call::kind::list)
    {
        using adapter::read_freshness;
        on_list(call,
                client.list(call.after, call.may_be_stale ? read_freshness::may_be_stale : read_freshness::latest));
    }
    else
    {
        on_watch(client.watch(call.revision, to_milliseconds(watch_wait)));
    }
    set_reachable();
}

void store_worker::set_reachable()
{
    const bool is_reachable = watch_.failures() == 0;
    if (state_.store_reachable(kind_).exchange(is_reachable) != is_reachable)
    {
        state_.watch_has_news.store(true);
        consumer_.notify();
    }
}

bool store_worker::read_from_peer(const base::endpoint& peer)
{
    const auto answer = fetch_peer_state(peer, kind_, peer_timeout);
    if (!answer)
    {
        log_event{log_level::warning, "peer_lost"}.with("kind", name_of(kind_)).with(answer.error());
        return false;
    }
    auto state = peers::decode_state(answer.value());
    if (!state)
    {
        log_event{log_level::warning, "peer_state_refused"}.with("address", peer.to_string()).with(state.error());
        return false;
    }
    log_event{log_level::info, "peer_state"}
        .with("kind", name_of(kind_))
        .with("address", peer.to_string())
        .with("version", state.value().configuration.version)
        .with("revision", state.value().upstreams.revision.number)
        .with("epoch", state.value().upstreams.revision.epoch);
    enqueue({.what = store_update::kind::peer_state,
             .objects_of = kind_,
             .objects = {},
             .revision = state.value().upstreams.revision,
             .state = std::make_shared<const peers::edge_state>(std::move(state.value())),
             .is_large_state = answer.value().size() > max_unlimited_state_bytes,
             .received_at = base::steady_now()});
    return true;
}

void store_worker::on_list(const store_call& call, const base::result<adapter::store_page>& answer)
{
    if (!answer)
    {
        on_failure(answer.error());
        return;
    }
    const auto& page = answer.value();
    const bool is_endless = watch_.is_endless() || listed_.size() > adapter::max_listed_objects;
    if (page.more && (page.last_name.empty() || page.last_name == call.after || is_endless))
    {
        on_failure(base::error::make(base::error_code::malformed, "store_list", state_.store().to_string(),
                                     is_endless
                                         ? "the list does not end"
                                         : "more objects follow, and none of the page has a name to continue from"));
        return;
    }
    observe_epoch(page, 0);
    report_unnamed(page);
    if (call.after.empty())
    {
        listed_.clear();
    }
    listed_.insert(listed_.end(), page.objects.begin(), page.objects.end());
    const bool regained = watch_.failures() > 0;
    const auto now = base::steady_now();
    // A stale page is only certain to contain the changes of its own objects.
    const auto number = call.may_be_stale ? last_change_of(page) : page.revision.number;
    if (watch_.on_page({.epoch = page.revision.epoch, .number = number}, page.last_name, page.more, now))
    {
        log_event{log_level::info, regained ? "store_regained" : "store_listed"}
            .with("kind", name_of(kind_))
            .with("objects", listed_.size())
            .with("revision", number)
            .with("epoch", page.revision.epoch);
        enqueue({.what = store_update::kind::list,
                 .objects_of = kind_,
                 .objects = std::exchange(listed_, {}),
                 .revision = {.epoch = call.may_be_stale ? 0 : page.revision.epoch, .number = watch_.position().number},
                 .state = {},
                 .received_at = now});
    }
}

void store_worker::on_watch(const base::result<adapter::store_page>& answer)
{
    if (!answer)
    {
        on_failure(answer.error());
        return;
    }
    const auto& page = answer.value();
    observe_epoch(page, watch_.position().number);
    report_unnamed(page);
    if (watch_.failures() > 0)
    {
        log_event{log_level::info, "store_regained"}
            .with("kind", name_of(kind_))
            .with("failures", watch_.failures())
            .with("revision", page.revision.number)
            .with("epoch", page.revision.epoch);
    }
    const auto now = base::steady_now();
    if (page.incomplete)
    {
        log_event{log_level::warning, "changes_unreadable"}
            .with("kind", name_of(kind_))
            .with("revision", page.revision.number)
            .with("epoch", page.revision.epoch);
        watch_.on_incomplete_changes(now);
        return;
    }
    const bool has_changes = !page.objects.empty();
    if (watch_.on_changes(page.revision, has_changes, now, page.unnamed > 0) && has_changes)
    {
        enqueue({.what = store_update::kind::changes,
                 .objects_of = kind_,
                 .objects = page.objects,
                 .revision = page.revision,
                 .state = {},
                 .received_at = now});
    }
}

void store_worker::on_failure(const base::error& failure)
{
    metrics_.store_failures(kind_).Increment();
    const bool first = watch_.failures() == 0;
    const auto now = base::steady_now();
    watch_.on_failure(failure.code(), now);
    if (failure.code() == base::error_code::stale)
    {
        log_event{log_level::warning, "store_history_gone"}.with("kind", name_of(kind_));
        return;
    }
    if (first)
    {
        log_event{log_level::warning, "store_lost"}.with("kind", name_of(kind_)).with(failure);
    }
    enqueue({.what = store_update::kind::failure,
             .objects_of = kind_,
             .objects = {},
             .revision = {},
             .state = {},
             .received_at = now});
}

void store_worker::report_unnamed(const adapter::store_page& page)
{
    if (page.unnamed > 0)
    {
        metrics_.refused_objects.Increment(static_cast<double>(page.unnamed));
        log_event{log_level::warning, "objects_unnamed"}
            .with("kind", name_of(kind_))
            .with("count", page.unnamed)
            .with("revision", page.revision.number);
    }
}

void store_worker::observe_epoch(const adapter::store_page& page, std::uint64_t position)
{
    const auto epoch = page.revision.epoch;
    const auto before = std::exchange(epoch_, epoch);
    if (before && *before != epoch)
    {
        log_event{log_level::warning, "store_epoch_changed"}
            .with("kind", name_of(kind_))
            .with("before", *before)
            .with("epoch", epoch)
            .with("revision", page.revision.number)
            .with("position", position);
    }
    state_.observe_store_epoch(epoch);
    metrics_.store_epoch.Set(static_cast<double>(state_.store_epoch.load()));
}

void store_worker::enqueue(store_update update)
{
    const auto shared = std::make_shared<const store_update>(std::move(update));
    while (!updates_.push(shared) && !state_.stopping())
    {
        std::this_thread::sleep_for(ring_retry_pause);
    }
    consumer_.notify();
}

} // namespace galenabay::edge
