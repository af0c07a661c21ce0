#pragma once

#include "flow_table.hpp"

#include <galenabay/steer/answer_time.hpp>
#include <galenabay/steer/upstream_registry.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace galenabay::steer
{

/// Decides which answers of a host's flows are samples of their upstreams' answer times. Not
/// thread-safe; owned by the `steerer`.
class answer_time_sampler
{
public:
    /// `data_centre`: this host's; requests to upstreams elsewhere give no sample, because their
    /// time contains that of the link. Empty: all requests count.
    explicit answer_time_sampler(std::string data_centre) : data_centre_{std::move(data_centre)} {}

    /// Records the packet that shows the answer to the flow's SYN, which was last seen before it.
    static void on_handshake(flow_state& flow, base::time_point now);
    /// Records a request that its caller has just sent; the upstream's open requests include it.
    void on_request(flow_state& flow, const upstream_incarnation& upstream);
    /// Records the first acknowledgement of the answer to the flow's last request, and adds a
    /// sample to the upstream unless the time says nothing of it. Call it before the flow's
    /// retransmissions are cleared.
    void on_answer(const flow_state& flow, upstream_incarnation& upstream, base::time_point now);
    /// Records that the process did not run: answers to earlier requests give no samples.
    void on_pause(base::time_point now) { resumed_at_ = now; }

    /// Returns true when flows of the service carry many requests, the first of which may be slow
    /// because the flow is new.
    bool has_long_flows(const std::string& service) const;
    /// Returns true when most flows of the service carry one request, by enough of them: a host
    /// that has just started has seen the first requests of long flows only.
    bool has_short_flows(const std::string& service) const;
    /// Returns about the longest time that one of the last answers of the service took; 0 when none was seen.
    base::duration longest_answer(const std::string& service) const;
    /// Returns true when most flows of the service carry one request as far as this host has seen. Some seconds after a
    /// start this is the same as `has_short_flows`; before, first requests of long flows may seem to be the only ones.
    bool may_have_short_flows(const std::string& service) const;

private:
    /// Requests of recent flows of one service, and the longest of their answer times, which fades.
    struct recent_requests
    {
        std::uint32_t first = 0;
        std::uint32_t later = 0;
        base::duration longest_answer{0};

        /// Returns true when most flows carry one request.
        bool are_short() const noexcept;
    };

    std::string data_centre_;
    std::unordered_map<std::string, recent_requests> services_;
    base::time_point resumed_at_{};
};

} // namespace galenabay::steer
