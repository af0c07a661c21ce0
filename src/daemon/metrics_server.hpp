#pragma once

#include "metric_table.hpp"
#include "thread_state.hpp"

#include <galenabay/net/status_server.hpp>

#include <memory>

namespace galenabay::daemon
{

/// Starts a server for /metrics, /healthz and /readyz that runs until it is destroyed. Errors: `io_failure` when the
/// endpoint cannot be bound.
base::result<net::status_server> start_metrics_server(const base::endpoint& local,
                                                      std::shared_ptr<metric_table> metrics, const thread_state& state);

} // namespace galenabay::daemon
