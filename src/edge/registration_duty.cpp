#include "registration_duty.hpp"

#include <galenabay/base/log.hpp>
#include <platform/store_client.hpp>

#include <utility>

namespace galenabay::edge
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

constexpr milliseconds answer_timeout{1'000};
/// Pause between tries: hosts that are listed already find this one by its messages,
/// so that nothing urgent depends on it.
constexpr milliseconds retry_pause{1'000};

} // namespace

registration_duty::registration_duty(std::string name, const base::endpoint& address, shared_state& state,
                                     edge_metrics& metrics, update_ring& updates, net::waker& consumer)
    : name_{std::move(name)}, address_{address}, state_{state}, metrics_{metrics}, updates_{updates},
      consumer_{consumer}, thread_{[this] { run(); }}
{
}

registration_duty::~registration_duty()
{
    thread_.join();
}

void registration_duty::run()
{
    while (!state_.stopping())
    {
        const auto done = register_and_list();
        if (done)
        {
            return;
        }
        metrics_.store_failures(adapter::object_kind::hosts).Increment();
        log_event{log_level::warning, "registration_failed"}.with(done.error());
        std::this_thread::sleep_for(retry_pause);
    }
}

base::result<void> registration_duty::register_and_list()
{
    auto client = adapter::store_client::make(state_.store(), adapter::object_kind::hosts, answer_timeout);
    metrics_.store_calls(adapter::object_kind::hosts).Increment();
    BOOST_OUTCOME_TRY(client.put_host(name_, address_));
    store_update update{.what = store_update::kind::list,
                        .objects_of = adapter::object_kind::hosts,
                        .objects = {},
                        .revision = 0,
                        .state = {},
                        .at = {}};
    for (bool more = true; more;)
    {
        metrics_.store_calls(adapter::object_kind::hosts).Increment();
        BOOST_OUTCOME_TRY(page, client.list(update.objects.empty() ? "" : update.objects.back().name));
        more = page.more && !page.objects.empty();
        update.revision = page.revision;
        update.objects.insert(update.objects.end(), page.objects.begin(), page.objects.end());
    }
    update.at = steady_now();
    log_event{log_level::info, "registered"}
        .with("address", address_.to_string())
        .with("hosts", update.objects.size())
        .with("revision", update.revision);
    updates_.push(std::make_shared<const store_update>(std::move(update)));
    consumer_.notify();
    return base::outcome::success();
}

} // namespace galenabay::edge
