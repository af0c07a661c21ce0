#include "probe_worker.hpp"

#include "guarded_step.hpp"

#include <galenabay/base/steady_clock.hpp>

#include <poll.h>

#include <algorithm>

namespace galenabay::edge
{

namespace
{

using std::chrono::milliseconds;
using connection_state = net::connection_attempt::state;

/// Longest wait for a connection: many times the round trip of 2 ms, and more than the
/// tenth of a second for which an upstream with a CPU quota may not run.
constexpr base::duration connect_timeout = milliseconds{250};
/// Longest sleep without an attempt, after which the stop flag is checked again.
constexpr base::duration idle_wait = milliseconds{1'000};
/// Largest number of simultaneous attempts; the other requests wait in the ring.
constexpr std::size_t max_attempts = 64;

steer::probe_result result_of(connection_state state)
{
    switch (state)
    {
    case connection_state::connected:
        return steer::probe_result::reachable;
    case connection_state::refused:
        return steer::probe_result::refused;
    case connection_state::pending:
    case connection_state::failed:
        break;
    }
    return steer::probe_result::unreachable;
}

} // namespace

probe_worker::probe_worker(shared_state& state, net::wakeup_event& consumer, prometheus::Counter& failures)
    : state_{state}, consumer_{consumer}, failures_{failures}
{
}

probe_worker::~probe_worker()
{
    if (thread_.joinable())
    {
        wakeup_.notify();
        thread_.join();
    }
}

void probe_worker::start()
{
    thread_ = std::thread{[this] { run(); }};
}

bool probe_worker::request_attempt(const steer::probe_request& request)
{
    const bool taken = requests_.push(request);
    wakeup_.notify();
    return taken;
}

void probe_worker::run()
{
    while (!state_.stopping())
    {
        run_guarded("probes", failures_,
                    [this]
                    {
                        begin_attempts(base::steady_now());
                        wait(base::steady_now());
                        end_attempts(base::steady_now());
                    });
    }
}

void probe_worker::begin_attempts(base::time_point now)
{
    steer::probe_request request;
    while (attempts_.size() < max_attempts && requests_.pop(request))
    {
        attempts_.push_back({.token = request.token,
                             .connection = net::connection_attempt::begin(request.address),
                             .deadline = now + connect_timeout});
    }
}

void probe_worker::wait(base::time_point now)
{
    wakeup_.prepare();
    if (requests_.size() > 0 && attempts_.size() < max_attempts)
    {
        wakeup_.cancel();
        return;
    }
    auto deadline = now + idle_wait;
    std::vector<pollfd> entries{pollfd{wakeup_.descriptor(), POLLIN, 0}};
    for (const auto& one : attempts_)
    {
        const bool has_ended = one.connection.descriptor() < 0;
        deadline = std::min(deadline, has_ended ? now : one.deadline);
        entries.push_back({one.connection.descriptor(), POLLOUT, 0});
    }
    const auto left = std::chrono::ceil<milliseconds>(deadline - now).count();
    if (poll(entries.data(), entries.size(), static_cast<int>(std::max<std::int64_t>(left, 0))) > 0 &&
        entries.front().revents != 0)
    {
        wakeup_.clear();
    }
    wakeup_.cancel();
    for (std::size_t i = 0; i < attempts_.size(); ++i)
    {
        if (entries[i + 1].revents != 0)
        {
            attempts_[i].connection.update_state();
        }
    }
}

void probe_worker::end_attempts(base::time_point now)
{
    const auto has_ended = [&](const attempt& one)
    { return one.connection.last_state() != connection_state::pending || now >= one.deadline; };
    bool any = false;
    for (const auto& one : attempts_)
    {
        // A result that is lost to a full ring is not retried: the packet thread gives up
        // waiting for it after `steering_options::probe_lifetime`.
        any = (has_ended(one) &&
               completed_.push({.token = one.token, .result = result_of(one.connection.last_state())})) ||
              any;
    }
    std::erase_if(attempts_, has_ended);
    if (any)
    {
        consumer_.notify();
    }
}

} // namespace galenabay::edge
