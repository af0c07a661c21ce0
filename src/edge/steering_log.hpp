#pragma once

#include "log_limiter.hpp"

#include <galenabay/peers/upstream_changes.hpp>
#include <galenabay/steer/steerer.hpp>
#include <platform/store_objects.hpp>

#include <array>
#include <vector>

namespace galenabay::edge
{

/// Logs decisions about flows, changes of upstreams, probes, resets and refused objects,
/// with a rate limit for each kind of line. Owned by the packet thread.
class steering_log
{
public:
    /// Logs the decision about a packet, unless it is forwarded by its token, as most are.
    void packet(const steer::packet_header& header, const steer::steering_decision& decision, std::uint64_t version,
                base::time_point now);
    /// Logs a change of an upstream at a store revision.
    void upstream(const steer::upstream_registry::change& change, const steer::store_revision& revision,
                  base::time_point now);
    /// Logs an attempt to connect to an upstream and the number of flows reset by it.
    void probe(const steer::upstream_incarnation& upstream, steer::probe_result result, std::size_t resets,
               base::time_point now);
    /// Logs the reset of a flow that was decided without a packet of the flow.
    void reset(const steer::lost_flow& lost, base::time_point now);
    /// Logs the evidence because of which flows of an upstream were reset for its silence.
    /// `resets`: flows of that upstream.
    void silence(const steer::upstream_incarnation& upstream, const std::vector<steer::lost_flow>& resets,
                 base::time_point now);
    /// Logs that an upstream lost half of its capacity by its answer times.
    void slowed(const steer::upstream_incarnation& upstream, base::time_point now);
    /// Logs that weak evidence excludes none of a service's upstreams, or does so again.
    void avoidance(const steer::avoidance_change& change, base::time_point now);
    /// Logs an object of the store that cannot be used.
    void refused(const adapter::store_object& object, const steer::store_revision& revision, base::time_point now);
    /// Logs registrations in another host's message that cannot be used, if there are any.
    void unusable(const peers::upstream_changes& changes, base::time_point now);
    /// Logs how many lines of each kind were suppressed since the last call.
    void summarize();

private:
    /// Average rate and burst of each kind: a host gets some 20 new flows per second.
    static constexpr std::uint32_t lines_per_second = 20;
    static constexpr std::uint32_t line_burst = 60;

    std::array<log_limiter, steer::steering_reason_count> packets_ =
        make_limiters(std::make_index_sequence<steer::steering_reason_count>{});
    log_limiter upstreams_{lines_per_second, line_burst};
    log_limiter resets_{lines_per_second, line_burst};
    log_limiter silences_{lines_per_second, line_burst};
    log_limiter probes_{lines_per_second, line_burst};
    log_limiter slowed_{lines_per_second, line_burst};
    log_limiter avoidance_{lines_per_second, line_burst};
    log_limiter refused_{lines_per_second, line_burst};

    template <std::size_t... I> static std::array<log_limiter, sizeof...(I)> make_limiters(std::index_sequence<I...>)
    {
        return {((void)I, log_limiter{lines_per_second, line_burst})...};
    }
};

} // namespace galenabay::edge
