#include <galenabay/net/status_server.hpp>

#include "socket_address.hpp"
#include "status_connection.hpp"

#include <galenabay/base/log.hpp>
#include <galenabay/base/standard_error.hpp>
#include <galenabay/base/steady_clock.hpp>
#include <galenabay/base/token_bucket.hpp>

#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <exception>
#include <limits>
#include <optional>
#include <string_view>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

namespace galenabay::net
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

/// More connections than routers, scrapers and hosts that restart at once have open.
constexpr std::size_t max_connections = 128;
constexpr std::size_t min_connections = 4;
/// Share of the process's descriptors for the connections of one server. A process has three servers.
constexpr std::size_t descriptor_share = 16;
/// Longest time for a connection: a link of 10 Mbit/s carries a response of 64 KiB to twenty hosts in 1 s.
constexpr milliseconds max_connection_time{5'000};
/// Connections that the kernel keeps until they are accepted: a burst of silent ones that no accept has yet closed.
constexpr int listen_backlog = 1'024;
/// Connections accepted between two passes over those that are open.
constexpr std::size_t accept_batch = 16;
/// Pause before a connection is accepted again when the process or the machine has no descriptor or memory for it. The
/// connection waits in the kernel and keeps the listener readable meanwhile.
constexpr milliseconds accept_pause{100};
/// Pause after a failure of the loop itself, which may last.
constexpr milliseconds failure_pause{100};

/// Owns a descriptor.
class descriptor_owner
{
public:
    explicit descriptor_owner(int descriptor) : descriptor_{descriptor} {}
    descriptor_owner(descriptor_owner&& other) noexcept : descriptor_{std::exchange(other.descriptor_, -1)} {}
    descriptor_owner& operator=(descriptor_owner&&) = delete;
    ~descriptor_owner()
    {
        if (descriptor_ >= 0)
        {
            close(descriptor_);
        }
    }
    int get() const noexcept { return descriptor_; }

private:
    int descriptor_;
};

/// Throws `std::system_error` when the system refuses.
descriptor_owner listen_on(const base::endpoint& local)
{
    const auto require = [](bool holds)
    {
        if (!holds)
        {
            throw std::system_error{errno, std::generic_category()};
        }
    };
    descriptor_owner listener{
        socket(local.is_v4() ? AF_INET : AF_INET6, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    require(listener.get() >= 0);
    // Connections of an earlier process that are about to end do not keep the address.
    const int enabled = 1;
    require(setsockopt(listener.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled) == 0);
    sockaddr_storage address{};
    const auto length = to_sockaddr(local, address);
    require(bind(listener.get(), reinterpret_cast<const sockaddr*>(&address), length) == 0);
    require(listen(listener.get(), listen_backlog) == 0);
    return listener;
}

/// Returns true when a failed accept concerned one connection only.
bool concerns_connection(int failure)
{
    return failure != EMFILE && failure != ENFILE && failure != ENOBUFS && failure != ENOMEM;
}

} // namespace

status_limits status_limits::for_this_process()
{
    rlimit descriptors{};
    const bool known = getrlimit(RLIMIT_NOFILE, &descriptors) == 0;
    const auto share = known ? static_cast<std::size_t>(descriptors.rlim_cur) / descriptor_share : max_connections;
    return {std::clamp(share, min_connections, max_connections), max_connection_time};
}

/// The listener, its connections from the oldest to the youngest, and the thread that serves them. The destructor stops
/// it.
class status_server::server
{
public:
    server(const base::endpoint& local, std::string step, request_handler answer, const status_limits& limits)
        : name_{std::move(step)}, answer_{std::move(answer)}, limits_{limits}, listener_{listen_on(local)},
          thread_{[this] { run(); }}
    {
    }
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server()
    {
        stopping_.store(true);
        // Wakes the thread: a listener that is shut down counts as ready.
        shutdown(listener_.get(), SHUT_RDWR);
        thread_.join();
    }

private:
    void run()
    {
        while (!stopping_.load())
        {
            try
            {
                run_step();
            }
            catch (const std::exception& failure)
            {
                report("status_failed", failure.what());
                // Whatever the memory is short for, the open connections hold some.
                connections_.clear();
                std::this_thread::sleep_for(failure_pause);
            }
        }
    }

    void run_step()
    {
        const bool can_accept = wait();
        advance_connections();
        if (can_accept)
        {
            accept_connections();
        }
    }

    /// Sleeps until a connection can go on or its time is up. Returns true when one can be accepted.
    bool wait()
    {
        const auto now = base::steady_now();
        const bool is_paused = now < accept_after_;
        entries_.assign(1, pollfd{listener_.get(), static_cast<short>(is_paused ? 0 : POLLIN), 0});
        std::optional<base::time_point> deadline;
        if (!connections_.empty())
        {
            deadline = connections_.front().deadline();
        }
        if (is_paused)
        {
            deadline = std::min(deadline.value_or(accept_after_), accept_after_);
        }
        for (const auto& one : connections_)
        {
            entries_.push_back({one.descriptor(), one.awaited_events(), 0});
        }
        const auto left = deadline ? std::chrono::ceil<milliseconds>(*deadline - now).count() : -1;
        const auto timeout = deadline ? std::max<std::int64_t>(left, 0) : -1;
        const int ready = poll(entries_.data(), entries_.size(), static_cast<int>(timeout));
        if (ready < 0 && errno != EINTR)
        {
            throw std::system_error{errno, std::generic_category(), "poll"};
        }
        return ready > 0 && entries_.front().revents != 0;
    }

    void advance_connections()
    {
        if (connections_.empty())
        {
            return;
        }
        const auto now = base::steady_now();
        std::size_t index = 0;
        std::erase_if(connections_,
                      [&](status_connection& one)
                      {
                          const bool is_ready = entries_[++index].revents != 0;
                          return (is_ready && !advance(one)) || now >= one.deadline();
                      });
    }

    bool advance(status_connection& one)
    {
        try
        {
            return one.advance(answer_);
        }
        catch (const std::exception& failure)
        {
            report("status_failed", failure.what());
            return false;
        }
    }

    void accept_connections()
    {
        const auto now = base::steady_now();
        // A single caller is the rule, for which a second attempt would be in vain.
        const auto count = connections_.empty() ? 1 : accept_batch;
        for (std::size_t i = 0; i < count; ++i)
        {
            if (const int accepted = accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
                accepted >= 0)
            {
                add({accepted, now + limits_.connection_time});
            }
            else if (errno == EAGAIN || !on_accept_failure(errno, now))
            {
                return;
            }
        }
    }

    void add(status_connection accepted)
    {
        if (!advance(accepted))
        {
            return;
        }
        if (connections_.size() >= limits_.connections)
        {
            close_oldest("connections of other callers");
        }
        connections_.push_back(std::move(accepted));
    }

    /// Returns true when another attempt makes sense.
    bool on_accept_failure(int failure, base::time_point now)
    {
        if (concerns_connection(failure))
        {
            return true;
        }
        const auto text = std::generic_category().message(failure);
        if (connections_.empty())
        {
            report("status_failed", text);
            accept_after_ = now + accept_pause;
            return false;
        }
        close_oldest(text);
        return true;
    }

    void close_oldest(const std::string& reason)
    {
        connections_.erase(connections_.begin());
        report("status_connection_closed", reason);
    }

    /// Logs at a bounded rate.
    void report(const char* event, std::string_view detail)
    {
        if (!lines_.take(base::steady_now()))
        {
            return;
        }
        const auto left_out = lines_.refused() - std::exchange(reported_, lines_.refused());
        try
        {
            log_event{log_level::warning, event}
                .with("server", name_)
                .with("detail", detail)
                .with("left_out", left_out);
        }
        catch (const std::exception&)
        {
            // The memory whose shortage is reported may be missing for the log line, too.
            base::print_to_standard_error("level=warning event=status_failed detail=\"no memory for the log line\"\n");
        }
    }

    std::string name_;
    request_handler answer_;
    status_limits limits_;
    descriptor_owner listener_;
    std::vector<status_connection> connections_;
    /// Of the listener and of each connection, in their order.
    std::vector<pollfd> entries_;
    /// When connections are accepted again.
    base::time_point accept_after_{};
    /// Lines of the log: one a second.
    base::token_bucket lines_{1, 1};
    std::uint64_t reported_ = 0;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

base::result<status_server> status_server::start(const base::endpoint& local, const std::string& step,
                                                 request_handler answer, status_limits limits)
{
    try
    {
        return status_server{std::make_unique<server>(local, step, std::move(answer), limits)};
    }
    catch (const std::system_error& failure)
    {
        return base::error::make(base::error_code::io_failure, step, local.to_string(), failure.code().message());
    }
    catch (const std::exception& failure)
    {
        return base::error::make(base::error_code::exhausted, step, local.to_string(), failure.what());
    }
}

status_server::status_server(std::unique_ptr<server> running) : server_{std::move(running)} {}
status_server::status_server(status_server&&) noexcept = default;
status_server& status_server::operator=(status_server&&) noexcept = default;
status_server::~status_server() = default;

} // namespace galenabay::net
