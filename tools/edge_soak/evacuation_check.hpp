#pragma once

#include "evacuation_operator.hpp"
#include "soak_results.hpp"
#include "upstream_fleet.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace galenabay::edge_soak
{

/// Checks from the upstreams' end that an evacuated data centre gets no new flow and that any other one does. Use it
/// from one thread.
class evacuation_check
{
public:
    evacuation_check(const evacuation_operator& evacuations, const host_processes& hosts, upstream_fleet& upstreams,
                     soak_results& results);

    /// Notes which data centres cannot be expected to get new flows.
    void run(double now);

private:
    /// New flows of a data centre's hosts while that data centre could take them.
    struct local_flows
    {
        /// The data centre could take new flows, and got none, since this time.
        double without_since = 0;
        std::uint64_t sent_elsewhere = 0;
    };

    void on_open(const upstream& entry, const base::endpoint& from, double now);
    void check_evacuated(const upstream& entry, std::size_t host, double now);
    void check_taken_back(const upstream& entry, const std::string& data_centre, double now);
    /// Returns true when the data centre has upstreams that hosts have no reason to avoid.
    bool takes_flows(const std::string& data_centre, double now) const;

    const evacuation_operator& evacuations_;
    const host_processes& hosts_;
    upstream_fleet& upstreams_;
    soak_results& results_;
    std::map<std::string, local_flows> flows_;
};

} // namespace galenabay::edge_soak
