#include "packet_worker.hpp"

#include <galenabay/base/log.hpp>

#include <chrono>

// Reports on rejected flows, the retry budget and the links to other data centres.
namespace galenabay::edge
{

namespace
{

using base::log_event;
using base::log_level;

/// Brings a counter up to a total that the `steerer` keeps.
void raise_to(prometheus::Counter& counter, std::uint64_t total)
{
    counter.Increment(static_cast<double>(total) - counter.Value());
}

} // namespace

void packet_worker::report_links()
{
    const auto changes = steerer_.links().take_changes();
    for (const auto& change : changes)
    {
        // A cut is rare and begins and ends once for each data centre, so that the lines need no limit
        // beyond the rate of trial flows.
        if (change.silent)
        {
            log_event{log_level::warning, "data_centre_silent"}
                .with("silent", change.data_centre)
                .with("upstreams", change.upstreams);
        }
        else
        {
            log_event{log_level::info, "data_centre_back"}
                .with("back", change.data_centre)
                .with("silent_ms", std::chrono::duration_cast<std::chrono::milliseconds>(change.lasted).count());
        }
    }
    if (!changes.empty())
    {
        metrics_.silent_data_centres.Set(static_cast<double>(steerer_.links().silent_count()));
    }
}

void packet_worker::report_avoidance(base::time_point now)
{
    for (const auto& change : steerer_.take_avoidance_changes())
    {
        log_.avoidance(change, now);
    }
    metrics_.ignored_evidence.Set(static_cast<double>(steerer_.ignored_doubt_count()));
    metrics_.avoided_upstreams.Set(static_cast<double>(steerer_.avoided_count()));
    metrics_.usable_upstreams.Set(static_cast<double>(steerer_.usable_count()));
}

void packet_worker::report_shortage()
{
    raise_to(metrics_.rejected_flows, steerer_.rejected_flow_count());
    raise_to(metrics_.trial_flows, steerer_.links().trial_count());
    raise_to(metrics_.limited_retries, steerer_.limited_retry_count());
}

} // namespace galenabay::edge
