#pragma once

#include <galenabay/base/time.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace galenabay::edge
{

/// Finds the objects of owners of starting upstreams that nobody else removes, because their owners
/// stopped, paused or got no answer to the removal. Does no I/O; owned by the packet thread.
class warm_up_cleanup
{
public:
    /// Time for which an object must have been seen unused before it is removed. By then all hosts
    /// know the upstream, or that it is warm. One of an upstream that this host has lost sight of may
    /// be in use by the processes that it lists.
    static constexpr base::duration min_age = std::chrono::seconds{60};

    /// Returns the names of the objects to remove. `listed`: those in the store; `in_use`: those of
    /// upstreams that are starting.
    std::vector<std::string> on_list(const std::vector<std::string>& listed, const std::set<std::string>& in_use,
                                     base::time_point now)
    {
        std::map<std::string, base::time_point> seen;
        std::vector<std::string> unused;
        for (const auto& name : listed)
        {
            const auto known = unused_since_.find(name);
            const auto since = known == unused_since_.end() || in_use.contains(name) ? now : known->second;
            seen.emplace(name, since);
            if (now - since >= min_age)
            {
                unused.push_back(name);
            }
        }
        unused_since_ = std::move(seen);
        return unused;
    }

private:
    /// Since when each object was listed and not in use.
    std::map<std::string, base::time_point> unused_since_;
};

} // namespace galenabay::edge
