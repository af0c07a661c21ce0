#pragma once

#include "fault_schedule.hpp"
#include "host_processes.hpp"
#include "store_stub.hpp"
#include "upstream_fleet.hpp"

#include <string>

namespace galenabay::edge_soak
{

/// Returns the operator's configuration: a route to `feed`, a route to `vault`, and `extra`
/// additional routes. `starting_rate`: the services state a rate of starting upstreams.
std::string configuration_text(std::uint64_t version, std::size_t extra, bool starting_rate);

/// Disturbs the store, for all hosts or some of them, and writes the operator's
/// configurations. Use it from one thread.
class store_faults
{
public:
    store_faults(fault_schedule& schedule, store_stub& store, host_processes& hosts, upstream_fleet& upstreams,
                 bool starting_rate);

    /// Begins a random fault.
    void begin(double now);
    /// Writes a configuration with up to 60 additional routes.
    void change_configuration();
    /// Makes the store unavailable while the first hosts start.
    void begin_unavailable();

private:
    /// Disturbs the store for all hosts.
    void disturb_all(double now, store_fault fault, double seconds);
    /// Disturbs the store for a third of the hosts, or for all but one, in different ways, and changes the
    /// configuration.
    void disturb_some(double now);
    void lose_history(double now);
    /// Returns the store to a copy of this moment, after a while in which changes are made.
    void restore(double now);
    /// The store is unavailable until the registrations have expired.
    void expire_registrations(double now);
    /// Writes many configurations in quick succession, and the last one with many routes.
    void write_many(double now);
    void write_configuration(std::size_t extra);

    fault_schedule& schedule_;
    store_stub& store_;
    host_processes& hosts_;
    upstream_fleet& upstreams_;
    bool starting_rate_ = false;
    std::uint64_t version_ = 1;
    /// The configuration that the operator wrote last; empty for the first one.
    std::string configuration_;
    /// End of the last fault of the store for all hosts.
    double away_until_ = 0;
    bool restore_pending_ = false;
};

} // namespace galenabay::edge_soak
