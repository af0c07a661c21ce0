#pragma once

#include "host_processes.hpp"
#include "soak_results.hpp"
#include "upstream_fleet.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace galenabay::edge_soak
{

/// Checks from the upstreams' end how many new flows a starting upstream gets in any second. Use it from one thread.
class starting_rate_check
{
public:
    starting_rate_check(upstream_fleet& upstreams, soak_results& results) : results_{results}
    {
        upstreams.on_open([this](const upstream& entry, const wire_packet& packet, const base::endpoint&, double now)
                          { on_open(entry, packet.flow(), now); });
    }

    /// Call it in each round of the run. Flows that arrived while the run was held up count from its return, so their
    /// times are not known and they are left out.
    void run(double now)
    {
        constexpr double longest_round_s = 0.1;
        if (now - last_round_ > longest_round_s)
        {
            opened_.clear();
        }
        last_round_ = now;
    }

private:
    void on_open(const upstream& entry, const steer::flow_key& flow, double now)
    {
        if (now >= entry.starting_until || entry.flows.contains(flow))
        {
            return;
        }
        constexpr double window_s = 1;
        const auto bound = starting_rate_per_s * warm_up_overshoot + warm_up_slack;
        auto& times = opened_[{entry.id, entry.born}];
        times.push_back(now);
        while (now - times.front() >= window_s)
        {
            times.pop_front();
        }
        if (static_cast<double>(times.size()) > bound)
        {
            results_.violation("starting_upstream_rate", now,
                               "upstream=" + entry.id + " flows=" + std::to_string(times.size()) +
                                   " bound=" + std::to_string(bound));
        }
    }

    soak_results& results_;
    /// Times of the new flows of the last second, by id and start of the upstream.
    std::map<std::pair<std::string, std::uint64_t>, std::deque<double>> opened_;
    double last_round_ = 0;
};

} // namespace galenabay::edge_soak
