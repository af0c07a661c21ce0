#include "registration_worker.hpp"

#include "guarded_step.hpp"
#include "store_watch.hpp"

#include <galenabay/base/log.hpp>
#include <galenabay/base/steady_clock.hpp>
#include <platform/store_client.hpp>

#include <algorithm>
#include <utility>

namespace galenabay::edge
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

} // namespace

registration_worker::registration_worker(peers::member self, shared_state& state, edge_metrics& metrics,
                                         update_ring& updates, net::wakeup_event& consumer)
    : self_{std::move(self)}, state_{state}, metrics_{metrics}, updates_{updates}, consumer_{consumer}, thread_{[this] {
          run();
      }}
{
}

registration_worker::~registration_worker()
{
    thread_.join();
}

void registration_worker::run()
{
    while (!state_.stopping())
    {
        if (!run_guarded("registration", metrics_.thread_failures, [this] { run_step(); }))
        {
            schedule_.on_failed(base::steady_now());
        }
    }
}

registration_schedule::situation registration_worker::situation() const
{
    return {.alone = state_.alone.load(),
            .should_register = state_.should_register.load(),
            .store_epoch = state_.store_epoch.load()};
}

void registration_worker::run_step()
{
    using step = registration_schedule::step;
    const auto seen = situation();
    switch (schedule_.next(seen, base::steady_now()))
    {
    case step::list:
        report(refresh(adapter::read_freshness::may_be_stale));
        break;
    case step::list_current:
        report(refresh(adapter::read_freshness::latest));
        break;
    case step::write:
        report(write_entry());
        break;
    case step::wait:
        break;
    }
    const auto limit = std::chrono::ceil<milliseconds>(schedule_.longest_wait(situation()));
    remove_entries(state_.wait_for_registration_work(schedule_.awaits_role(), seen.store_epoch, limit));
}

void registration_worker::report(const base::result<void>& done)
{
    if (!done)
    {
        schedule_.on_failed(base::steady_now());
        metrics_.store_failures(adapter::object_kind::hosts).Increment();
        log_event{log_level::warning, "registration_failed"}.with(done.error());
    }
}

base::result<void> registration_worker::refresh(adapter::read_freshness freshness)
{
    auto client = adapter::store_client::make(state_.store(), adapter::object_kind::hosts, store_answer_timeout);
    const auto count_call = [this] { metrics_.store_calls(adapter::object_kind::hosts).Increment(); };
    BOOST_OUTCOME_TRY(listed, client.list_all(freshness, count_call));
    if (listed.unnamed > 0)
    {
        metrics_.refused_objects.Increment(static_cast<double>(listed.unnamed));
        log_event{log_level::warning, "objects_unnamed"}
            .with("kind", name_of(adapter::object_kind::hosts))
            .with("count", listed.unnamed)
            .with("revision", listed.revision.number);
    }
    const bool is_current = freshness == adapter::read_freshness::latest;
    schedule_.on_listed(is_registered(listed.objects), is_current ? listed.revision.epoch : 0, base::steady_now());
    return enqueue_hosts(std::move(listed.objects));
}

base::result<void> registration_worker::write_entry()
{
    auto client = adapter::store_client::make(state_.store(), adapter::object_kind::hosts, store_answer_timeout);
    metrics_.store_calls(adapter::object_kind::hosts).Increment();
    BOOST_OUTCOME_TRY(epoch, client.put_host(self_.name, self_.address, self_.data_centre));
    schedule_.on_written(epoch, base::steady_now());
    log_event{log_level::info, "registered"}.with("address", self_.address.to_string()).with("epoch", epoch);
    return base::outcome::success();
}

bool registration_worker::is_registered(const std::vector<adapter::store_object>& hosts) const
{
    return std::any_of(hosts.begin(), hosts.end(),
                       [&](const adapter::store_object& entry)
                       { return entry.name == self_.name && entry.host == self_.address; });
}

base::result<void> registration_worker::enqueue_hosts(std::vector<adapter::store_object> hosts)
{
    if (!updates_.push(std::make_shared<const store_update>(store_update{.what = store_update::kind::list,
                                                                         .objects_of = adapter::object_kind::hosts,
                                                                         .objects = std::move(hosts),
                                                                         .revision = {},
                                                                         .state = {},
                                                                         .received_at = base::steady_now()})))
    {
        return base::error::make(base::error_code::exhausted, "enqueue_hosts", "", "the packet thread is behind");
    }
    consumer_.notify();
    return base::outcome::success();
}

void registration_worker::remove_entries(const std::vector<std::string>& lost)
{
    if (lost.empty())
    {
        return;
    }
    auto client = adapter::store_client::make(state_.store(), adapter::object_kind::hosts, store_answer_timeout);
    for (const auto& name : lost)
    {
        metrics_.store_calls(adapter::object_kind::hosts).Increment();
        if (const auto removed = client.remove(name); !removed)
        {
            // The host is listed again at the next refresh, and its removal is retried after
            // `peer_options::address_retention`.
            metrics_.store_failures(adapter::object_kind::hosts).Increment();
            log_event{log_level::warning, "host_entry_kept"}.with("name", name).with(removed.error());
            continue;
        }
        log_event{log_level::info, "host_entry_removed"}.with("name", name);
    }
}

} // namespace galenabay::edge
