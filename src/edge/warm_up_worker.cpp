#include "warm_up_worker.hpp"

#include "guarded_step.hpp"
#include "store_watch.hpp"

#include <galenabay/base/log.hpp>

#include <poll.h>

#include <utility>

namespace galenabay::edge
{

namespace
{

using adapter::object_kind;
using base::log_event;
using base::log_level;

/// Longest sleep, after which the stop flag is checked again.
constexpr int idle_wait_ms = 1'000;

} // namespace

warm_up_worker::warm_up_worker(steer::share_holder self, shared_state& state, edge_metrics& metrics,
                               net::wakeup_event& consumer)
    : self_{std::move(self)}, state_{state}, metrics_{metrics}, consumer_{consumer}
{
}

warm_up_worker::~warm_up_worker()
{
    if (thread_.joinable())
    {
        wakeup_.notify();
        thread_.join();
    }
}

void warm_up_worker::start()
{
    thread_ = std::thread{[this] { run(); }};
}

bool warm_up_worker::request(warm_up_call call)
{
    const bool taken = calls_.push(std::move(call));
    wakeup_.notify();
    return taken;
}

std::shared_ptr<const warm_up_report> warm_up_worker::take_report()
{
    std::shared_ptr<const warm_up_report> report;
    return reports_.pop(report) ? report : nullptr;
}

void warm_up_worker::run()
{
    while (!state_.stopping())
    {
        run_guarded("warm_ups", metrics_.thread_failures, [this] { run_step(); });
    }
}

void warm_up_worker::run_step()
{
    const auto make = [this](const warm_up_call& call) { make_call(call); };
    const auto fail = [this](const warm_up_call& call) { answer_failed(call); };
    while (!state_.stopping() && calls_.use_first(make, fail))
    {
    }
    wakeup_.prepare();
    pollfd entry{wakeup_.descriptor(), POLLIN, 0};
    if (calls_.size() == 0 && !state_.stopping() && poll(&entry, 1, idle_wait_ms) > 0)
    {
        wakeup_.clear();
    }
    wakeup_.cancel();
}

void warm_up_worker::make_call(const warm_up_call& call)
{
    switch (call.what)
    {
    case warm_up_call::kind::claim:
        push({.what = call.what, .claim = claim(call)});
        break;
    case warm_up_call::kind::remove:
        remove(call.name);
        break;
    case warm_up_call::kind::list:
        list();
        break;
    }
}

void warm_up_worker::answer_failed(const warm_up_call& call)
{
    if (call.what == warm_up_call::kind::claim)
    {
        push({.what = call.what, .claim = {.token = call.token, .result = steer::claim_result::failed, .epoch = 0}});
    }
}

steer::claim_answer warm_up_worker::claim(const warm_up_call& call)
{
    auto client = adapter::store_client::make(state_.store(), object_kind::warm_ups, store_answer_timeout);
    const auto count_call = [this] { metrics_.store_calls(object_kind::warm_ups).Increment(); };
    const auto created = client.create_warm_up(call.name, call.holders, count_call);
    if (!created)
    {
        report_failure("warm_up_claim_failed", call.name, created.error());
        return {.token = call.token, .result = steer::claim_result::failed, .epoch = 0};
    }
    const auto& owner = created.value().holders.front();
    const auto own_result = owner == self_ ? steer::claim_result::created : steer::claim_result::inherited;
    return {.token = call.token,
            .result = owner.host == self_.host ? own_result : steer::claim_result::taken,
            .epoch = created.value().epoch,
            .holders = created.value().holders};
}

void warm_up_worker::remove(const std::string& name)
{
    auto client = adapter::store_client::make(state_.store(), object_kind::warm_ups, store_answer_timeout);
    metrics_.store_calls(object_kind::warm_ups).Increment();
    if (const auto removed = client.remove(name); !removed)
    {
        // The host that watches the store removes the object later.
        report_failure("warm_up_kept", name, removed.error());
        return;
    }
    log_event{log_level::info, "warm_up_released"}.with("object", name);
}

void warm_up_worker::list()
{
    auto client = adapter::store_client::make(state_.store(), object_kind::warm_ups, store_answer_timeout);
    const auto count_call = [this] { metrics_.store_calls(object_kind::warm_ups).Increment(); };
    auto listed = client.list_all(adapter::read_freshness::may_be_stale, count_call);
    if (!listed)
    {
        report_failure("warm_up_list_failed", "", listed.error());
        return;
    }
    warm_up_report report{.what = warm_up_call::kind::list};
    for (auto& object : listed.value().objects)
    {
        report.names.push_back(std::move(object.name));
    }
    push(std::move(report));
}

void warm_up_worker::report_failure(const char* event, const std::string& name, const base::error& failure)
{
    metrics_.store_failures(object_kind::warm_ups).Increment();
    log_event{log_level::warning, event}.with("object", name).with(failure);
}

void warm_up_worker::push(warm_up_report report)
{
    // No more claims wait for their result than there is room for in the ring.
    reports_.push(std::make_shared<const warm_up_report>(std::move(report)));
    consumer_.notify();
}

} // namespace galenabay::edge
