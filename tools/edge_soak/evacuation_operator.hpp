#pragma once

#include "fault_schedule.hpp"
#include "host_processes.hpp"
#include "store_stub.hpp"

#include <map>
#include <string>

namespace galenabay::edge_soak
{

/// An evacuation that the store has acknowledged. Times are in seconds of the run.
struct acknowledged_evacuation
{
    /// No host that has run since sends new flows into the data centre after this time.
    double in_force_by = 0;
    /// Hosts that started since may know only a copy of the store that lacks the evacuation.
    double lacking_since = never;
    /// No such host sends new flows into the data centre after this time.
    double in_force_again_by = 0;

    static constexpr double never = 1e18;
};

/// Evacuates data centres and takes them back, as an operator does, overlapping with all other faults; writes again
/// what a restored store lacks, and writes entries that name no evacuation. Use it from one thread.
class evacuation_operator
{
public:
    evacuation_operator(fault_schedule& schedule, store_stub& store, host_processes& hosts, std::uint64_t seed)
        : schedule_{schedule}, store_{store}, hosts_{hosts}, random_{seed + 2}
    {
    }

    /// Writes what is due. No evacuation begins after `last_fault_s`.
    void run(double now, double last_fault_s);

    const std::map<std::string, acknowledged_evacuation>& evacuated() const { return evacuated_; }
    /// Returns true when some host in use runs and is answered by the store.
    bool store_is_readable(double now) const;

private:
    double between(double low, double high) { return low + (high - low) * random_.unit(); }
    void evacuate(double now, const std::string& data_centre);
    void take_back(const std::string& data_centre);
    void write_odd(double now);
    /// Postpones the times by which evacuations are in force while no host can read the store.
    void postpone(double now);
    void on_restore(double now);
    void write_again(double now);

    fault_schedule& schedule_;
    store_stub& store_;
    host_processes& hosts_;
    /// Numbers of its own: the other faults of a seed don't depend on evacuations.
    base::random_source random_;
    std::map<std::string, acknowledged_evacuation> evacuated_;
    double next_ = 3;
    double next_odd_ = 5;
    std::uint64_t restores_ = 0;
    std::size_t odd_count_ = 0;
};

} // namespace galenabay::edge_soak
