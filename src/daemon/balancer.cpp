#include <galenabay/daemon/balancer.hpp>

#include "channels.hpp"
#include "control_worker.hpp"
#include "decide_worker.hpp"
#include "metric_table.hpp"
#include "metrics_server.hpp"
#include "packet_pool.hpp"
#include "platform_worker.hpp"
#include "receive_worker.hpp"
#include "send_worker.hpp"
#include "thread_state.hpp"
#include <galenabay/net/udp_socket.hpp>

#include <galenabay/base/hash.hpp>
#include <galenabay/base/log.hpp>
#include <galenabay/base/steady_clock.hpp>

#include <algorithm>
#include <chrono>
#include <random>
#include <thread>
#include <utility>
#include <vector>

namespace galenabay::daemon
{

namespace
{

/// Packet buffers shared by the receive, decide and send threads.
constexpr std::size_t pool_size = 16384;
/// Shortest planned stop if `stop_timeout` permits: peers must receive the leaving state even when nothing is open.
constexpr base::duration leave_announce_time{1'500'000};
constexpr std::chrono::milliseconds stop_poll_interval{20};

/// Returns the call budget of each of the two platform threads: half of the host's budget.
std::uint32_t calls_per_thread(const config::host_settings& settings)
{
    return std::max<std::uint32_t>(1, settings.platform_calls_per_second / 2);
}

std::uint64_t process_seed()
{
    std::random_device source;
    return (std::uint64_t{source()} << 32U) | source();
}

} // namespace

/// Owns the threads of the process and everything that they share. The destructor joins the threads.
class balancer::threads
{
public:
    threads(const config::host_settings& settings, net::udp_socket upstream_socket, net::udp_socket relay_socket,
            std::uint64_t seed)
        : settings_{settings}, links_{settings.ring_size}, pool_{pool_size}, metrics_{std::make_shared<metric_table>()},
          upstream_socket_{std::move(upstream_socket)}, relay_socket_{std::move(relay_socket)},
          receive_{links_, pool_, *metrics_, state_, upstream_socket_, relay_socket_},
          decide_{settings, seed, links_, pool_, *metrics_, state_, upstream_socket_, relay_socket_.descriptor()},
          send_{links_, pool_, *metrics_, state_}, platform_watch_{settings.platform, calls_per_thread(settings),
                                                                   *metrics_, state_},
          platform_calls_{settings.platform, calls_per_thread(settings), *metrics_, state_},
          control_{settings, seed + 1, links_, *metrics_, state_, platform_watch_, platform_calls_}
    {
    }
    threads(const threads&) = delete;
    threads& operator=(const threads&) = delete;

    ~threads() { end(); }

    base::result<void> start()
    {
        const auto local = settings_.address.with_port(settings_.metrics_port);
        BOOST_OUTCOME_TRY(server, start_metrics_server(local, metrics_, state_));
        http_ = std::make_unique<net::status_server>(std::move(server));
        running_.emplace_back([this] { receive_.run(); });
        running_.emplace_back([this] { decide_.run(); });
        running_.emplace_back([this] { send_.run(); });
        platform_running_.emplace_back([this] { platform_watch_.run(); });
        platform_running_.emplace_back([this] { platform_calls_.run(); });
        running_.emplace_back([this] { control_.run(); });
        return base::outcome::success();
    }

    void reload() { control_.reload(); }

    stop_summary stop()
    {
        const auto began = base::steady_now();
        state_.leaving.store(true);
        while (base::steady_now() - began < settings_.stop_timeout)
        {
            std::this_thread::sleep_for(stop_poll_interval);
            if (base::steady_now() - began > leave_announce_time && state_.open_requests.load() == 0)
            {
                break;
            }
        }
        const stop_summary summary{state_.open_requests.load(), base::steady_now() - began};
        end_serving();
        return summary;
    }

private:
    static void join(std::vector<std::thread>& threads)
    {
        for (auto& thread : threads)
        {
            thread.join();
        }
        threads.clear();
    }

    /// Stops all threads; joins them, except for the platform threads.
    void end_serving()
    {
        state_.stop.store(true);
        join(running_);
        http_.reset();
    }

    void end()
    {
        end_serving();
        join(platform_running_);
    }

    config::host_settings settings_;
    thread_state state_;
    channels links_;
    packet_pool pool_;
    std::shared_ptr<metric_table> metrics_;
    net::udp_socket upstream_socket_;
    net::udp_socket relay_socket_;
    receive_worker receive_;
    decide_worker decide_;
    send_worker send_;
    platform_worker platform_watch_;
    platform_worker platform_calls_;
    control_worker control_;
    std::unique_ptr<net::status_server> http_;
    std::vector<std::thread> running_;
    /// Joined by the destructor only, because a platform thread can block for the length of a watch.
    std::vector<std::thread> platform_running_;
};

base::result<balancer> balancer::start(const config::host_settings& settings)
{
    BOOST_OUTCOME_TRY(upstream_socket, net::udp_socket::bind(settings.address.with_port(settings.upstream_port)));
    BOOST_OUTCOME_TRY(relay_socket, net::udp_socket::bind(settings.address.with_port(settings.relay_port)));
    auto running =
        std::make_unique<threads>(settings, std::move(upstream_socket), std::move(relay_socket), process_seed());
    BOOST_OUTCOME_TRYV(running->start());
    return balancer{std::move(running)};
}

balancer::balancer(std::unique_ptr<threads> running) : threads_{std::move(running)} {}
balancer::balancer(balancer&&) noexcept = default;
balancer& balancer::operator=(balancer&&) noexcept = default;
balancer::~balancer() = default;

void balancer::reload()
{
    threads_->reload();
}

stop_summary balancer::stop()
{
    return threads_->stop();
}

} // namespace galenabay::daemon
