#pragma once

#include "metric_table.hpp"
#include "thread_state.hpp"

#include <galenabay/net/status_server.hpp>

#include <memory>

namespace galenabay::daemon
{

/// Serves /metrics, /healthz and /readyz until destroyed. Errors: `io_failure` when
/// the endpoint can't be bound.
base::result<net::status_server> start_metrics_server(const base::endpoint& local,
                                                      std::shared_ptr<metric_table> metrics, const thread_state& state);

} // namespace galenabay::daemon
