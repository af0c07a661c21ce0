#pragma once

#include "metric_table.hpp"
#include "platform_worker.hpp"

#include <galenabay/base/time.hpp>
#include <galenabay/config/host_settings.hpp>
#include <galenabay/membership/member_view.hpp>
#include <galenabay/revision/status_aggregator.hpp>

#include <cstdint>

namespace galenabay::daemon
{

/// Carries out the status aggregator's actions through a platform thread. Owned by the control thread.
class status_reporter
{
public:
    status_reporter(const config::host_settings& settings, std::uint64_t incarnation, std::uint64_t seed,
                    platform_worker& platform_calls, metric_table& metrics);

    /// Passes the current members to the aggregator. Must be called at least every 200 ms.
    void tick(const membership::member_view& members, base::time_point now);

    /// Handles the result of a call that this object requested; ignores other events.
    void handle(const platform_event& event, base::time_point now);

private:
    void carry_out(const revision::status_actions& decided);

    revision::status_aggregator aggregator_;
    platform_worker& platform_calls_;
    metric_table& metrics_;
    base::time_point next_tick_{};
};

} // namespace galenabay::daemon
