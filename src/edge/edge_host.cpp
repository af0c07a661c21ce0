#include <galenabay/edge/edge_host.hpp>

#include "packet_worker.hpp"
#include "peer_state.hpp"
#include "peer_state_responder.hpp"
#include "registration_worker.hpp"
#include "store_check_worker.hpp"
#include "store_worker.hpp"

#include <galenabay/base/hash.hpp>
#include <galenabay/base/log.hpp>
#include <galenabay/base/steady_clock.hpp>
#include <galenabay/net/status_server.hpp>
#include <galenabay/peers/answer_time_report_codec.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <thread>
#include <utility>

namespace galenabay::edge
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

/// Time until the routers stop sending packets to a host that is not ready: they check
/// twice a second and switch after two failed checks, and a packet takes some milliseconds
/// more to arrive.
constexpr milliseconds router_failover_time{1'300};
/// Time without a packet after which no router sends packets to this host any more.
constexpr milliseconds drain_idle_time{500};
/// Part of the stop bound that is reserved for the exit of the process.
constexpr milliseconds exit_reserve{800};
constexpr milliseconds drain_poll_interval{50};
/// Interval at which the port of /metrics is tried again while another program holds it.
constexpr std::chrono::seconds metrics_retry_interval{5};

/// Returns a random seed that differs between hosts and starts; hosts need not agree on
/// anything that depends on it.
std::uint64_t make_seed(const adapter::settings& settings)
{
    const auto now = static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
    return base::mix(base::hash_text(settings.host), now);
}

/// Longest wait of a watch, with which a watcher makes one call in three seconds.
constexpr base::duration longest_watch_wait = milliseconds{3'000};

/// Pause before the list of evacuations is read again after a change: short against the bound of
/// some seconds within which an evacuation is in force.
constexpr base::duration evacuation_batch_pause = milliseconds{50};

/// Limits the wait of a watch, since a silent connection to the store must be detected well
/// within the time in which a configuration has to be in force.
store_watch_options watch_options(const adapter::settings& settings)
{
    store_watch_options options;
    options.watch_wait = std::min(longest_watch_wait, settings.config_bound / 2);
    return options;
}

/// Limits the wait of the watch of evacuations in the same way.
store_watch_options evacuation_watch_options(base::duration bound)
{
    store_watch_options options;
    options.watch_wait = std::min(longest_watch_wait, bound / 2);
    options.batch_pause = evacuation_batch_pause;
    options.first_list_may_be_stale = false;
    options.list_after_changes = true;
    return options;
}

/// Limits the time in which a data centre without a watcher gets one to a third of the shortest bound on changes, and
/// that in which a silent store is noticed to as much: the rest is for what the new watcher reads and sends.
peers::exchange_options exchange_options_of(const adapter::settings& settings)
{
    constexpr base::duration shortest_window = milliseconds{200};
    const auto bound = std::min(settings.config_bound, settings.evacuation_bound.value_or(settings.config_bound));
    peers::exchange_options options;
    options.peers.takeover.window = std::max(shortest_window, bound / 3);
    options.peers.takeover.check_interval = options.peers.takeover.window / 2;
    return options;
}

std::uint64_t unix_microseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

steer::steering_options steering_options_of(const adapter::settings& settings, edge_features features)
{
    const base::duration unix_time{static_cast<std::int64_t>(unix_microseconds())};
    return {.data_centre = settings.data_centre,
            .registry = {.retention = settings.flow_age_limit},
            .evacuation_bound = settings.evacuation_bound,
            .clock_offset = unix_time - base::steady_now().time_since_epoch(),
            .warm_ups = {.overshoot = settings.warm_up_overshoot, .slack = settings.warm_up_slack},
            .learned_capacity = features.learned_capacity};
}

net::status_response make_peer_response(const std::string& path, const shared_state& state,
                                        peer_state_responder& states)
{
    for (const auto kind : {adapter::object_kind::configuration, adapter::object_kind::upstreams})
    {
        if (path == peer_state_path(kind))
        {
            return states.respond(kind, base::steady_now());
        }
    }
    if (path == refusals_path)
    {
        return {net::status_ok, std::to_string(state.refused_with_free_slots.load())};
    }
    return {net::status_not_found, "not found"};
}

/// Does not wait for the packet thread: the server has one thread, on which hosts read the state, too.
net::status_response make_answer_time_response(shared_state& state, net::wakeup_event& packet_thread)
{
    if (const auto known = state.answer_times.read(base::steady_now()))
    {
        return {net::status_ok, peers::encode(*known)};
    }
    packet_thread.notify();
    return {net::status_unavailable, "requested: ask again"};
}

net::status_response make_status_response(const std::string& path, const shared_state& state,
                                          const edge_metrics& metrics)
{
    if (path == "/readyz")
    {
        const bool ready = state.ready.load() && !state.draining.load();
        return {ready ? net::status_ok : net::status_unavailable, ready ? "ready" : "not ready"};
    }
    if (path == "/healthz")
    {
        return {net::status_ok, state.draining.load() ? "draining" : "ok"};
    }
    if (path == "/metrics")
    {
        return {net::status_ok, metrics.to_text()};
    }
    return {net::status_not_found, "not found"};
}

} // namespace

/// Owns the state that the threads share, the workers and the status servers.
class edge_host::implementation
{
public:
    implementation(const adapter::settings& settings, net::udp_socket socket, net::udp_socket peers,
                   edge_features features)
        : settings_{settings}, state_{settings.store}, packets_{std::move(socket),
                                                                std::move(peers),
                                                                {settings.host, settings.data_centre,
                                                                 unix_microseconds(), settings.peers},
                                                                settings.seeds,
                                                                steering_options_of(settings, features),
                                                                exchange_options_of(settings),
                                                                make_seed(settings),
                                                                state_,
                                                                metrics_}
    {
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    ~implementation() { state_.stop(); }

    base::result<void> open_status_servers()
    {
        const auto respond = [this](const std::string& path) { return make_status_response(path, state_, metrics_); };
        BOOST_OUTCOME_TRY(readiness, net::status_server::start(settings_.readiness, "start_readiness", respond));
        readiness_ = std::make_unique<net::status_server>(std::move(readiness));
        const auto states = std::make_shared<peer_state_responder>(state_);
        const auto respond_peer = [this, states](const std::string& path)
        {
            return path == answer_times_path ? make_answer_time_response(state_, packets_.wakeup())
                                             : make_peer_response(path, state_, *states);
        };
        BOOST_OUTCOME_TRY(peers, net::status_server::start(settings_.peers, "start_peer_server", respond_peer));
        peer_server_ = std::make_unique<net::status_server>(std::move(peers));
        return base::outcome::success();
    }

    /// Serves /metrics at `local`. Another program may hold the port, which the host does not need to serve.
    void open_metrics(const base::endpoint& local)
    {
        metrics_address_ = local;
        next_metrics_attempt_ = base::steady_now() + metrics_retry_interval;
        auto opened = net::status_server::start(local, "start_metrics",
                                                [this](const std::string& path)
                                                { return make_status_response(path, state_, metrics_); });
        if (!opened)
        {
            if (!std::exchange(metrics_missing_, true))
            {
                log_event{log_level::warning, "metrics_unavailable"}.with(opened.error());
            }
            return;
        }
        metrics_server_ = std::make_unique<net::status_server>(std::move(opened).value());
        if (metrics_missing_)
        {
            log_event{log_level::info, "metrics_available"}.with("address", local.to_string());
        }
    }

    void retry_metrics()
    {
        if (!metrics_server_ && base::steady_now() >= next_metrics_attempt_)
        {
            open_metrics(metrics_address_);
        }
    }

    void start_workers()
    {
        packets_.start();
        for (const auto kind : {adapter::object_kind::configuration, adapter::object_kind::upstreams})
        {
            store_workers_.push_back(std::make_unique<store_worker>(
                kind, watch_options(settings_), base::mix(make_seed(settings_), static_cast<std::uint64_t>(kind)),
                state_, metrics_, packets_.updates(kind), packets_.wakeup()));
        }
        if (settings_.evacuation_bound)
        {
            constexpr auto kind = adapter::object_kind::evacuations;
            store_workers_.push_back(
                std::make_unique<store_worker>(kind, evacuation_watch_options(*settings_.evacuation_bound),
                                               base::mix(make_seed(settings_), static_cast<std::uint64_t>(kind)),
                                               state_, metrics_, packets_.updates(kind), packets_.wakeup()));
        }
        store_check_ = std::make_unique<store_check_worker>(state_, metrics_, packets_.wakeup());
        registration_ = std::make_unique<registration_worker>(
            peers::member{settings_.host, settings_.peers, settings_.data_centre}, state_, metrics_,
            packets_.updates(adapter::object_kind::hosts), packets_.wakeup());
    }

    void reload(const adapter::settings& next)
    {
        state_.set_store(next.store);
        settings_.store = next.store;
        settings_.stop_bound = next.stop_bound;
        // Everything else is in use by the threads and takes effect at the next start.
        if (next != settings_)
        {
            log_event{log_level::warning, "settings_need_restart"}
                .with("host", next.host)
                .with("data_centre", next.data_centre)
                .with("packets", next.packets.to_string())
                .with("readiness", next.readiness.to_string())
                .with("peers", next.peers.to_string())
                .with("config_bound_us", next.config_bound.count())
                .with("flow_age_limit_us", next.flow_age_limit.count())
                .with("seeds", next.seeds.size());
        }
    }

    milliseconds drain()
    {
        state_.draining.store(true);
        metrics_.ready.Set(0);
        const auto begun = base::steady_now();
        const auto limit = std::max<base::duration>(settings_.stop_bound - exit_reserve, milliseconds{0});
        const auto is_idle = [&](base::time_point now)
        { return now.time_since_epoch() - base::duration{state_.last_packet_us.load()} >= drain_idle_time; };
        for (auto now = begun; now - begun < limit; now = base::steady_now())
        {
            if (now - begun >= router_failover_time && is_idle(now))
            {
                break;
            }
            std::this_thread::sleep_for(drain_poll_interval);
        }
        // Routers may still send packets here when the time is up.
        state_.stop();
        packets_.finish();
        return std::chrono::duration_cast<milliseconds>(base::steady_now() - begun);
    }

private:
    adapter::settings settings_;
    shared_state state_;
    edge_metrics metrics_;
    packet_worker packets_;
    std::vector<std::unique_ptr<store_worker>> store_workers_;
    std::unique_ptr<store_check_worker> store_check_;
    std::unique_ptr<net::status_server> readiness_;
    std::unique_ptr<net::status_server> metrics_server_;
    base::endpoint metrics_address_;
    base::time_point next_metrics_attempt_{};
    bool metrics_missing_ = false;
    std::unique_ptr<net::status_server> peer_server_;
    std::unique_ptr<registration_worker> registration_;
};

base::result<edge_host> edge_host::start(const adapter::settings& settings, std::uint16_t metrics_port,
                                         edge_features features)
{
    try
    {
        return start_threads(settings, metrics_port, features);
    }
    catch (const std::exception& failure)
    {
        return base::error::make(base::error_code::exhausted, "start_host", settings.packets.to_string(),
                                 failure.what());
    }
}

base::result<edge_host> edge_host::start_threads(const adapter::settings& settings, std::uint16_t metrics_port,
                                                 edge_features features)
{
    BOOST_OUTCOME_TRY(socket, net::udp_socket::bind(settings.packets));
    BOOST_OUTCOME_TRY(peers, net::udp_socket::bind(settings.peers));
    auto running = std::make_unique<implementation>(settings, std::move(socket), std::move(peers), features);
    BOOST_OUTCOME_TRY(running->open_status_servers());
    // Last, so that it takes no port that the host needs.
    running->open_metrics(settings.packets.with_port(metrics_port));
    running->start_workers();
    return edge_host{std::move(running)};
}

edge_host::edge_host(std::unique_ptr<implementation> running) : running_{std::move(running)} {}
edge_host::edge_host(edge_host&&) noexcept = default;
edge_host& edge_host::operator=(edge_host&&) noexcept = default;
edge_host::~edge_host() = default;

void edge_host::reload(const adapter::settings& settings)
{
    running_->reload(settings);
}

void edge_host::retry_metrics()
{
    running_->retry_metrics();
}

std::chrono::milliseconds edge_host::drain()
{
    return running_->drain();
}

} // namespace galenabay::edge
