#include "metrics_server.hpp"

#include <prometheus/text_serializer.h>

#include <string>
#include <utility>

namespace galenabay::daemon
{

namespace
{

net::status_response respond(const std::string& path, metric_table& metrics, const thread_state& state)
{
    if (path == "/metrics")
    {
        return {net::status_ok, prometheus::TextSerializer{}.Serialize(metrics.Collect())};
    }
    if (path == "/healthz")
    {
        return {net::status_ok, state.leaving.load() ? "leaving" : "ok"};
    }
    if (path == "/readyz")
    {
        const bool ready = metrics.get(metric::ready) != 0 && !state.leaving.load();
        return {ready ? net::status_ok : net::status_unavailable, ready ? "ready" : "not ready"};
    }
    return {net::status_not_found, "not found"};
}

} // namespace

base::result<net::status_server> start_metrics_server(const base::endpoint& local,
                                                      std::shared_ptr<metric_table> metrics, const thread_state& state)
{
    return net::status_server::start(local, "start_metrics",
                                     [metrics = std::move(metrics), &state](const std::string& path)
                                     { return respond(path, *metrics, state); });
}

} // namespace galenabay::daemon
