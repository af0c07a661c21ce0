#pragma once

#include "host_processes.hpp"
#include "soak_results.hpp"
#include "store_stub.hpp"
#include "upstream_fleet.hpp"

#include <galenabay/base/random.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace galenabay::edge_soak
{

/// Selects faults and planned changes by a seed and carries them out. Use it from one
/// thread.
class fault_injector
{
public:
    fault_injector(host_processes& hosts, store_stub& store, upstream_fleet& upstreams, soak_results& results,
                   std::uint64_t seed);

    /// Carries out the actions that are due. No new fault begins after `last_fault_s`.
    void run(double now, double last_fault_s);

private:
    using scheduled_action = std::function<void(double)>;

    void schedule(double at, scheduled_action action) { scheduled_.emplace(at, std::move(action)); }
    void begin_fault(double now);
    void host_fault(double now);
    void store_fault_for(double now, store_fault fault, const char* name);
    /// Returns the store to a copy of this moment, after a while in which changes are made.
    void restore_store(double now);
    void upstream_fault(double now);
    void change_configuration();
    /// Selects a live upstream that does not drain; `upstreams_.size()` if too few are left.
    std::size_t pick_upstream();

    host_processes& hosts_;
    store_stub& store_;
    upstream_fleet& upstreams_;
    soak_results& results_;
    base::random_source random_;
    std::multimap<double, scheduled_action> scheduled_;
    double next_fault_ = 4;
    std::uint64_t version_ = 1;
    /// The configuration that the operator wrote last; empty for the first one.
    std::string configuration_;
    bool restore_pending_ = false;
};

/// Returns the operator's configuration: a route to `feed`, a route to `vault`, and `extra`
/// additional routes.
std::string configuration_text(std::uint64_t version, std::size_t extra);

} // namespace galenabay::edge_soak
