#include "store_check_worker.hpp"

#include "guarded_step.hpp"

#include <galenabay/base/log.hpp>
#include <platform/store_client.hpp>

#include <utility>

namespace galenabay::edge
{

namespace
{

using base::log_event;
using base::log_level;

/// Longest sleep, after which the stop flag is checked again.
constexpr std::chrono::milliseconds idle_wait{1'000};
/// Longest wait for a connection to the store, and for its answer: a host that gets none checks again within the
/// configuration bound.
constexpr std::chrono::milliseconds check_timeout{500};

} // namespace

store_check_worker::store_check_worker(shared_state& state, edge_metrics& metrics, net::wakeup_event& consumer)
    : state_{state}, metrics_{metrics}, consumer_{consumer}, thread_{[this] { run(); }}
{
}

store_check_worker::~store_check_worker()
{
    thread_.join();
}

void store_check_worker::run()
{
    while (!state_.stopping())
    {
        if (!run_guarded("store_check", metrics_.thread_failures, [this] { run_step(); }))
        {
            // The packet thread requests no other check before it has a result.
            publish(false);
        }
    }
}

void store_check_worker::run_step()
{
    if (!state_.wait_for_store_check(idle_wait))
    {
        return;
    }
    const auto checked =
        adapter::store_client::make(state_.store(), adapter::object_kind::configuration, check_timeout).check();
    const bool is_served = checked.has_value();
    metrics_.store_checks(is_served).Increment();
    if (is_served != std::exchange(is_served_, is_served))
    {
        log_event line{is_served ? log_level::info : log_level::warning,
                       is_served ? "store_serves" : "store_turned_away"};
        if (!checked)
        {
            line.with(checked.error());
        }
    }
    publish(is_served);
}

void store_check_worker::publish(bool is_served)
{
    state_.publish_store_check(is_served);
    consumer_.notify();
}

} // namespace galenabay::edge
