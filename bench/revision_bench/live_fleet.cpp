#include "live_fleet.hpp"

#include <galenabay/config/codec.hpp>

#include <string>
#include <utility>
#include <variant>

namespace galenabay::bench
{

namespace
{

using namespace std::chrono_literals;

constexpr auto call_timeout = 3000ms;
constexpr auto control_interval = 10ms;
constexpr auto heartbeat_interval = 500ms;
constexpr auto peer_call_time = 2ms;

} // namespace

live_host::live_host(std::size_t index, const base::endpoint& platform, bool reaches_platform)
    : index_{index}, reaches_platform_{reaches_platform}, store_{object_api::object_client::make(platform,
                                                                                                 call_timeout)},
      follower_{revision::follower_settings{.seed = index + 1}}
{
}

live_host::~live_host()
{
    stop();
}

void live_host::start(const std::vector<std::unique_ptr<live_host>>& fleet)
{
    fleet_ = &fleet;
    watcher_thread_ = std::thread{[this] { run_fetches(); }};
    control_thread_ = std::thread{[this] { run_control(); }};
}

void live_host::stop()
{
    stopping_ = true;
    if (control_thread_.joinable())
    {
        control_thread_.join();
        watcher_thread_.join();
    }
}

base::time_point live_host::now() const
{
    return base::time_point{std::chrono::duration_cast<base::duration>(clock::now() - started_)};
}

void live_host::run_control()
{
    while (!stopping_)
    {
        process_fetch_result();
        receive_heartbeats();
        perform(follower_.on_tick(now()));
        std::this_thread::sleep_for(control_interval);
    }
}

void live_host::run_fetches()
{
    while (!stopping_)
    {
        std::optional<revision::fetch_from_platform> requested_fetch;
        {
            const std::lock_guard lock{fetch_mutex_};
            requested_fetch = std::exchange(requested_fetch_, std::nullopt);
        }
        if (!requested_fetch)
        {
            std::this_thread::sleep_for(1ms);
            continue;
        }
        auto fetch_result = store_.fetch(requested_fetch->after,
                                         std::chrono::duration_cast<std::chrono::milliseconds>(requested_fetch->wait));
        const std::lock_guard lock{fetch_mutex_};
        fetch_result_ = std::move(fetch_result);
    }
}

void live_host::process_fetch_result()
{
    std::optional<base::result<std::optional<object_api::stored_revision>>> fetch_result;
    {
        const std::lock_guard lock{fetch_mutex_};
        fetch_result = std::exchange(fetch_result_, std::nullopt);
    }
    if (!fetch_result)
    {
        return;
    }
    if (!fetch_result->has_value())
    {
        perform(follower_.on_platform_failure(now()));
    }
    else if (!fetch_result->value())
    {
        perform(follower_.on_platform_unchanged(now()));
    }
    else
    {
        perform(follower_.on_platform_revision(fetch_result->value()->revision, now()));
    }
}

void live_host::receive_heartbeats()
{
    if (clock::now() < next_heartbeat_)
    {
        return;
    }
    next_heartbeat_ = clock::now() + heartbeat_interval;
    for (const auto& peer : *fleet_)
    {
        if (peer.get() != this)
        {
            const auto name = std::to_string(peer->index_);
            follower_.on_peer_reachability(name, peer->reaches_platform_, now());
            perform(follower_.on_peer_number(name, peer->number(), now()));
        }
    }
}

std::vector<std::byte> live_host::update_since(std::uint64_t after)
{
    const std::lock_guard lock{log_mutex_};
    auto bytes = log_.update_since(after);
    bytes_sent_ += bytes.size();
    return bytes;
}

void live_host::fetch_from(const revision::fetch_from_peer& fetch)
{
    std::this_thread::sleep_for(peer_call_time);
    const auto bytes = (*fleet_)[std::stoul(fetch.host)]->update_since(fetch.after);
    const auto offered = config::decode_update(follower_.current(), bytes);
    perform(offered ? follower_.on_peer_revision(fetch.host, offered.value(), now())
                    : follower_.on_peer_failure(fetch.host, now()));
}

void live_host::perform(const revision::actions& actions)
{
    for (const auto& action : actions)
    {
        if (std::holds_alternative<revision::adopt>(action))
        {
            adopt();
        }
        else if (const auto* platform_fetch = std::get_if<revision::fetch_from_platform>(&action))
        {
            const std::lock_guard lock{fetch_mutex_};
            requested_fetch_ = *platform_fetch;
        }
        else if (const auto* peer_fetch = std::get_if<revision::fetch_from_peer>(&action))
        {
            fetch_from(*peer_fetch);
        }
    }
}

void live_host::adopt()
{
    const auto& next = *follower_.current();
    reversions_ += next.number <= number_.load() ? 1U : 0U;
    {
        const std::lock_guard lock{log_mutex_};
        log_.add(log_.latest(), next);
    }
    number_ = next.number;
}

} // namespace galenabay::bench
