#pragma once

#include "metric_board.hpp"
#include "thread_state.hpp"

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/result.hpp>

#include <memory>

namespace galenabay::daemon
{

/// HTTP server of /metrics, /healthz and /readyz. Runs on threads of its own
/// until destroyed.
class metrics_duty
{
public:
    /// Errors: `io_failure` when the endpoint can't be bound.
    static base::result<metrics_duty> start(const base::endpoint& local, std::shared_ptr<metric_board> metrics,
                                            const thread_state& state);

    metrics_duty(metrics_duty&&) noexcept;
    metrics_duty& operator=(metrics_duty&&) noexcept;
    ~metrics_duty();

private:
    class server;
    explicit metrics_duty(std::unique_ptr<server> running);

    std::unique_ptr<server> server_;
};

} // namespace galenabay::daemon
