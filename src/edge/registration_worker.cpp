#include "registration_worker.hpp"

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

/// Pause between attempts to register. Not urgent: hosts that are listed already get this
/// host's address from its statuses.
constexpr base::duration retry_pause = milliseconds{1'000};
/// Interval at which a host checks that its entry is still there and looks for hosts that
/// it has no status of: long enough to cost next to nothing.
constexpr base::duration refresh_interval = std::chrono::seconds{60};

} // namespace

registration_worker::registration_worker(std::string name, const base::endpoint& address, shared_state& state,
                                         edge_metrics& metrics, update_ring& updates, net::wakeup_event& consumer)
    : name_{std::move(name)}, address_{address}, state_{state}, metrics_{metrics}, updates_{updates},
      consumer_{consumer}, thread_{[this] { run(); }}
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
        const auto done = register_and_list();
        if (!done)
        {
            metrics_.store_failures(adapter::object_kind::hosts).Increment();
            log_event{log_level::warning, "registration_failed"}.with(done.error());
        }
        const auto next = base::steady_now() + (done ? refresh_interval : retry_pause);
        for (auto now = base::steady_now(); now < next && !state_.stopping(); now = base::steady_now())
        {
            remove_entries(state_.wait_for_removals(std::chrono::ceil<milliseconds>(next - now)));
        }
    }
}

base::result<void> registration_worker::register_and_list()
{
    auto client = adapter::store_client::make(state_.store(), adapter::object_kind::hosts, store_answer_timeout);
    BOOST_OUTCOME_TRY(hosts, list_hosts(client, adapter::read_freshness::may_be_stale));
    if (!is_registered(hosts))
    {
        metrics_.store_calls(adapter::object_kind::hosts).Increment();
        BOOST_OUTCOME_TRY(client.put_host(name_, address_));
        // The list is read again after the write, so that of two hosts that start together
        // the one that writes last finds the other.
        BOOST_OUTCOME_TRY(latest, list_hosts(client, adapter::read_freshness::latest));
        hosts = std::move(latest);
        log_event{log_level::info, "registered"}.with("address", address_.to_string()).with("hosts", hosts.size());
    }
    enqueue_hosts(std::move(hosts));
    return base::outcome::success();
}

base::result<std::vector<adapter::store_object>> registration_worker::list_hosts(adapter::store_client& client,
                                                                                 adapter::read_freshness freshness)
{
    std::vector<adapter::store_object> hosts;
    for (bool more = true; more;)
    {
        metrics_.store_calls(adapter::object_kind::hosts).Increment();
        BOOST_OUTCOME_TRY(page, client.list(hosts.empty() ? "" : hosts.back().name, freshness));
        more = page.more && !page.objects.empty();
        hosts.insert(hosts.end(), page.objects.begin(), page.objects.end());
    }
    return hosts;
}

bool registration_worker::is_registered(const std::vector<adapter::store_object>& hosts) const
{
    return std::any_of(hosts.begin(), hosts.end(),
                       [&](const adapter::store_object& entry)
                       { return entry.name == name_ && entry.host == address_; });
}

void registration_worker::enqueue_hosts(std::vector<adapter::store_object> hosts)
{
    updates_.push(std::make_shared<const store_update>(store_update{.what = store_update::kind::list,
                                                                    .objects_of = adapter::object_kind::hosts,
                                                                    .objects = std::move(hosts),
                                                                    .revision = 0,
                                                                    .state = {},
                                                                    .received_at = base::steady_now()}));
    consumer_.notify();
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
