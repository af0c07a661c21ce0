#pragma once

#include "soak_results.hpp"

#include <galenabay/base/random.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace galenabay::edge_soak
{

/// Random numbers, scheduled actions and enabled faults that all kinds of faults share. Use
/// it from one thread.
class fault_schedule
{
public:
    /// An action receives the seconds of the run at which it is carried out.
    using action = std::function<void(double)>;

    /// Faults whose names are in `left_out` are never injected.
    fault_schedule(soak_results& results, std::uint64_t seed, std::set<std::string> left_out)
        : random{seed}, results_{results}, left_out_{std::move(left_out)}
    {
    }

    void add(double at, action scheduled) { actions_.emplace(at, std::move(scheduled)); }

    /// Carries out the actions that are due.
    void run(double now)
    {
        while (!actions_.empty() && actions_.begin()->first <= now)
        {
            const auto due = std::move(actions_.begin()->second);
            actions_.erase(actions_.begin());
            due(now);
        }
    }

    /// Counts a fault; returns false if it is left out.
    bool begin(const std::string& name)
    {
        if (left_out_.contains(name))
        {
            return false;
        }
        ++results_.faults[name];
        return true;
    }

    /// A random time between two bounds.
    double between(double low, double high) { return low + (high - low) * random.unit(); }

    /// True with a probability of `share`.
    bool chance(double share) { return random.unit() < share; }

    base::random_source random;

private:
    std::multimap<double, action> actions_;
    soak_results& results_;
    std::set<std::string> left_out_;
};

} // namespace galenabay::edge_soak
