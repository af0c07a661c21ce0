#pragma once

#include "fault_schedule.hpp"
#include "host_faults.hpp"
#include "odd_writer.hpp"
#include "port_noise.hpp"
#include "store_faults.hpp"
#include "upstream_fleet.hpp"

namespace galenabay::edge_soak
{

/// Selects faults and planned changes by a seed and carries them out. Use it from one
/// thread.
class fault_injector
{
public:
    /// Datagrams that no caller sends come from `noise`.
    fault_injector(host_processes& hosts, store_stub& store, upstream_fleet& upstreams, fault_schedule& schedule,
                   const base::endpoint& noise, std::uint64_t seed, bool starting_rate);

    /// Begins faults that the hosts meet as they start for the first time.
    void begin_before_start();
    /// Carries out the actions that are due. No new fault begins after `last_fault_s`.
    void run(double now, double last_fault_s);

private:
    void begin_fault(double now);
    void upstream_fault(double now);
    /// Selects a live upstream that does not drain; `upstreams_.size()` if too few are left.
    std::size_t pick_upstream();

    upstream_fleet& upstreams_;
    fault_schedule& schedule_;
    host_faults host_faults_;
    store_faults store_faults_;
    odd_writer odd_writer_;
    port_noise port_noise_;
    double next_fault_ = 4;
};

} // namespace galenabay::edge_soak
