#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/config/host_settings.hpp>

#include <memory>

namespace galenabay::daemon
{

/// Outcome of a planned stop.
struct stop_summary
{
    /// Number of requests still unanswered when the host stopped serving.
    std::size_t open_requests = 0;
    /// Time from the start of the planned stop until the host stopped serving.
    base::duration elapsed{0};
};

/// An entry host: owns all threads, sockets and rings of a galena_balancerd process. Owned by main; its functions are
/// called from one thread.
class balancer
{
public:
    /// Binds the sockets and starts the threads. Errors: `io_failure` with the endpoint that cannot be bound.
    static base::result<balancer> start(const config::host_settings& settings);

    balancer(balancer&&) noexcept;
    balancer& operator=(balancer&&) noexcept;
    ~balancer();

    /// Rereads the files that the test settings name.
    void reload();

    /// Performs a planned stop: reports this host as leaving to its peers, waits for open requests, and stops serving
    /// within `stop_timeout`. Destroying the object afterwards may block until a pending platform call returns.
    stop_summary stop();

private:
    class threads;
    explicit balancer(std::unique_ptr<threads> running);

    std::unique_ptr<threads> threads_;
};

} // namespace galenabay::daemon
