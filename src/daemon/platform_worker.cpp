#include "platform_worker.hpp"

#include <galenabay/base/steady_clock.hpp>
#include <galenabay/object_api/object_client.hpp>

#include <chrono>
#include <thread>
#include <utility>

namespace galenabay::daemon
{

namespace
{

constexpr std::size_t queue_size = 64;
constexpr std::chrono::milliseconds call_timeout{3'000};
constexpr std::chrono::milliseconds idle_wait{100};

base::error partition_error(const base::endpoint& platform)
{
    return base::error::make(base::error_code::unavailable, "platform_call", platform.to_string(),
                             "blocked by the simulated partition in the test settings");
}

} // namespace

platform_worker::platform_worker(const base::endpoint& platform, std::uint32_t calls_per_second, metric_table& metrics,
                                 const thread_state& state)
    : platform_{platform}, metrics_{metrics}, state_{state}, store_{object_api::object_client::make(platform,
                                                                                                    call_timeout)},
      budget_{calls_per_second, calls_per_second}, requests_{queue_size}, events_{queue_size}
{
}

void platform_worker::wait_for_budget()
{
    while (!budget_.take(base::steady_now()) && !state_.stop.load(std::memory_order_relaxed))
    {
        metrics_.add(metric::platform_throttled);
        std::this_thread::sleep_for(budget_.time_until_available(base::steady_now()));
    }
}

bool platform_worker::submit(platform_request request)
{
    const bool queued = requests_.push(std::move(request));
    wakeup_.notify();
    return queued;
}

void platform_worker::count_call(bool succeeded)
{
    metrics_.add(metric::platform_calls);
    if (!succeeded)
    {
        metrics_.add(metric::platform_failures);
    }
}

void platform_worker::watch(const watch_request& request)
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(request.wait);
    auto found = store_.fetch(request.after, wait);
    count_call(found.has_value());
    if (!found)
    {
        events_.push(revision_failed{found.error()});
        return;
    }
    if (!found.value())
    {
        events_.push(revision_unchanged{});
        return;
    }
    auto& stored = *found.value();
    events_.push(revision_read{std::make_shared<const config::accepted_revision>(std::move(stored.revision))});
}

void platform_worker::list_hosts()
{
    auto listed = object_api::object_client::make(platform_, call_timeout).hosts();
    count_call(listed.has_value());
    if (listed)
    {
        events_.push(hosts_listed{std::move(listed).value()});
    }
    else
    {
        events_.push(hosts_failed{listed.error()});
    }
}

void platform_worker::list_objects(const list_objects_request& request)
{
    const auto listed = object_api::object_client::make(platform_, call_timeout).list(request.prefix);
    count_call(listed.has_value());
    objects_listed outcome;
    if (listed)
    {
        for (const auto& object : listed.value())
        {
            outcome.versions.emplace_back(object.key, object.version);
        }
    }
    events_.push(std::move(outcome));
}

void platform_worker::remove(const remove_request& request)
{
    count_call(
        object_api::object_client::make(platform_, call_timeout).remove(request.key, request.expected).has_value());
}

void platform_worker::write(const write_request& request)
{
    const auto written =
        object_api::object_client::make(platform_, call_timeout).put(request.key, request.value, request.expected);
    count_call(written.has_value());
    object_written outcome{request.key, 0, std::nullopt};
    if (written)
    {
        outcome.version = written.value();
    }
    else
    {
        outcome.failure = written.error();
    }
    events_.push(std::move(outcome));
}

void platform_worker::read(const read_request& request)
{
    auto found = object_api::object_client::make(platform_, call_timeout).get(request.key);
    count_call(found.has_value() || found.error().code() == base::error_code::not_found);
    object_read outcome{request.key, "", 0, std::nullopt};
    if (found)
    {
        outcome.value = std::move(found.value().value);
        outcome.version = found.value().version;
    }
    else
    {
        outcome.failure = found.error();
    }
    events_.push(std::move(outcome));
}

bool platform_worker::refuse_if_partitioned(const platform_request& request)
{
    if (!partitioned_.load())
    {
        return false;
    }
    const auto failure = partition_error(platform_);
    if (std::holds_alternative<watch_request>(request))
    {
        events_.push(revision_failed{failure});
    }
    else if (std::holds_alternative<list_hosts_request>(request))
    {
        events_.push(hosts_failed{failure});
    }
    else if (std::holds_alternative<list_objects_request>(request))
    {
        events_.push(objects_listed{});
    }
    else if (const auto* write_to = std::get_if<write_request>(&request))
    {
        events_.push(object_written{write_to->key, 0, failure});
    }
    else if (const auto* read_from = std::get_if<read_request>(&request))
    {
        events_.push(object_read{read_from->key, "", 0, failure});
    }
    return true;
}

void platform_worker::handle(const platform_request& request)
{
    if (refuse_if_partitioned(request))
    {
        return;
    }
    wait_for_budget();
    if (const auto* watched = std::get_if<watch_request>(&request))
    {
        watch(*watched);
    }
    else if (std::holds_alternative<list_hosts_request>(request))
    {
        list_hosts();
    }
    else if (const auto* written = std::get_if<write_request>(&request))
    {
        write(*written);
    }
    else if (const auto* wanted = std::get_if<read_request>(&request))
    {
        read(*wanted);
    }
    else if (const auto* listed = std::get_if<list_objects_request>(&request))
    {
        list_objects(*listed);
    }
    else if (const auto* removed = std::get_if<remove_request>(&request))
    {
        remove(*removed);
    }
}

void platform_worker::run()
{
    while (!state_.stop.load(std::memory_order_relaxed))
    {
        platform_request request;
        wakeup_.prepare();
        if (!requests_.pop(request))
        {
            wakeup_.wait(idle_wait);
            continue;
        }
        wakeup_.cancel();
        handle(request);
    }
}

} // namespace galenabay::daemon
