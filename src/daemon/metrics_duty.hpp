#pragma once

#include "metric_board.hpp"
#include "thread_state.hpp"

#include <galenabay/net/status_server.hpp>

#include <memory>

namespace galenabay::daemon
{

/// Serves /metrics, /healthz and /readyz until destroyed. Errors: `io_failure` when
/// the endpoint can't be bound.
base::result<net::status_server> start_metrics_duty(const base::endpoint& local, std::shared_ptr<metric_board> metrics,
                                                    const thread_state& state);

} // namespace galenabay::daemon
