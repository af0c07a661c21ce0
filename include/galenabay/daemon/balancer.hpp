#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/config/host_settings.hpp>

#include <memory>

namespace galenabay::daemon
{

/// What a planned stop left behind.
struct stop_summary
{
    /// Requests that had no answer when the time was over.
    std::size_t open_requests = 0;
    base::duration elapsed{0};
};

/// One entry host: all threads, sockets and rings of a galena_balancerd process.
/// Owned by main; its functions may be called from one thread.
class balancer
{
public:
    /// Binds the sockets and starts the threads. Errors: `io_failure` with the
    /// endpoint that can't be bound.
    static base::result<balancer> start(const config::host_settings& settings);

    balancer(balancer&&) noexcept;
    balancer& operator=(balancer&&) noexcept;
    ~balancer();

    /// Reads the test settings' files again.
    void reload();

    /// Planned stop: announces leaving, finishes what is in flight, stops serving
    /// within `stop_timeout`. Destroying the object afterwards may wait for a call
    /// to the platform.
    stop_summary stop();

private:
    class threads;
    explicit balancer(std::unique_ptr<threads> running);

    std::unique_ptr<threads> threads_;
};

} // namespace galenabay::daemon
