#pragma once

#include "fault_schedule.hpp"
#include "host_processes.hpp"

namespace galenabay::edge_soak
{

/// Disturbs the processes of hosts: signals at any time after their start, ends and starts
/// one by one and all at once, changes of the settings file, a slow processor. Use it from
/// one thread.
class host_faults
{
public:
    host_faults(fault_schedule& schedule, host_processes& hosts, std::uint64_t seed);

    /// Begins a random fault.
    void begin(double now);

private:
    /// Disturbs a process that has just been started.
    void on_start(std::size_t host, double now);
    void pause(std::size_t host, double now, double seconds);
    /// Lets a host run for only a small share of the time, as a quota of the processor does.
    void slow_down(std::size_t host, double now, double until);
    void reload(std::size_t host);
    /// Sends SIGHUP to a host that handles its signals.
    void hup(std::size_t host);
    /// Sends several SIGHUPs within `seconds`.
    void hup_series(std::size_t host, double now, double seconds);
    /// Sends SIGHUP as soon as the program handles its signals.
    void hup_early(std::size_t host, double now);
    void stop_in_turn(double now);
    void kill_many();
    void replace(std::size_t host, double now);
    void add_or_remove(std::size_t host, double now);
    /// Leaves the settings file incomplete for a moment; with `restart`, while the host starts.
    void write_half(std::size_t host, double now, bool restart);
    /// Selects a host that is in use.
    std::size_t pick();
    std::size_t count_in_use() const;

    fault_schedule& schedule_;
    host_processes& hosts_;
    /// Numbers for the faults of a start: the other faults of a seed then don't depend on how often hosts are started.
    base::random_source start_random_;
};

} // namespace galenabay::edge_soak
