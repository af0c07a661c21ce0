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

/// Pause between attempts to read or write the hosts' entries.
constexpr base::duration retry_pause = milliseconds{1'000};
/// Interval at which a host checks that its entry is still there and looks for hosts that
/// it has no status of: long enough to cost next to nothing.
constexpr base::duration refresh_interval = std::chrono::seconds{60};
/// The same interval while no other host is live: a host that starts without usable seeds
/// finds the others here.
constexpr base::duration lonely_refresh_interval = milliseconds{1'000};

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
        run_guarded("registration", metrics_.thread_failures, [this] { run_step(); });
    }
}

void registration_worker::run_step()
{
    const auto answered_pause = state_.alone.load() ? lonely_refresh_interval : refresh_interval;
    const auto pause = succeeded_ ? answered_pause : retry_pause;
    if (base::steady_now() - attempted_at_ >= pause)
    {
        attempted_at_ = base::steady_now();
        succeeded_ = report(refresh());
    }
    else if (succeeded_ && !registered_ && state_.should_register.load())
    {
        attempted_at_ = base::steady_now();
        succeeded_ = report(write_entry());
    }
    // After a failure the next attempt waits for `retry_pause`.
    const bool awaits_role = succeeded_ && !registered_;
    const auto limit = std::chrono::ceil<milliseconds>(std::min(retry_pause, pause));
    remove_entries(state_.wait_for_registration_work(awaits_role, limit));
}

bool registration_worker::report(const base::result<void>& done)
{
    if (!done)
    {
        metrics_.store_failures(adapter::object_kind::hosts).Increment();
        log_event{log_level::warning, "registration_failed"}.with(done.error());
    }
    return static_cast<bool>(done);
}

base::result<void> registration_worker::refresh()
{
    auto client = adapter::store_client::make(state_.store(), adapter::object_kind::hosts, store_answer_timeout);
    BOOST_OUTCOME_TRY(hosts, list_hosts(client, adapter::read_freshness::may_be_stale));
    registered_ = is_registered(hosts);
    return enqueue_hosts(std::move(hosts));
}

base::result<void> registration_worker::write_entry()
{
    auto client = adapter::store_client::make(state_.store(), adapter::object_kind::hosts, store_answer_timeout);
    metrics_.store_calls(adapter::object_kind::hosts).Increment();
    BOOST_OUTCOME_TRY(client.put_host(self_.name, self_.address, self_.data_centre));
    registered_ = true;
    log_event{log_level::info, "registered"}.with("address", self_.address.to_string());
    return base::outcome::success();
}

base::result<std::vector<adapter::store_object>> registration_worker::list_hosts(adapter::store_client& client,
                                                                                 adapter::read_freshness freshness)
{
    std::vector<adapter::store_object> hosts;
    std::string after;
    for (bool more = true; more;)
    {
        metrics_.store_calls(adapter::object_kind::hosts).Increment();
        BOOST_OUTCOME_TRY(page, client.list(after, freshness));
        // An unusable object may be the last one of a page.
        more = page.more && page.last_name != after;
        after = page.last_name;
        hosts.insert(hosts.end(), page.objects.begin(), page.objects.end());
    }
    return hosts;
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
        if (const auto removed = client.remove_host(name); !removed)
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
