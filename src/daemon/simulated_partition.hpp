#pragma once

#include "channels.hpp"

#include <galenabay/config/accepted_revision.hpp>
#include <galenabay/membership/host.hpp>

#include <memory>
#include <set>
#include <span>
#include <string>

namespace galenabay::daemon
{

/// Data centres, and optionally the platform, that this host treats as unreachable in partition tests. Empty unless the
/// test settings name a file.
class simulated_partition
{
public:
    /// Reads the file: one data centre, or the word "platform", per line. A missing file gives an empty partition;
    /// names after the first 64 are ignored.
    static simulated_partition read(const std::string& file);

    /// Returns true if the platform is treated as unreachable.
    bool has_platform() const { return names_.contains("platform"); }
    /// Returns true if the data centre is treated as unreachable.
    bool has(const std::string& data_centre) const { return names_.contains(data_centre); }
    bool empty() const { return names_.empty(); }

    /// Returns the addresses of the hosts and upstreams in these data centres. `revision` may be null.
    std::shared_ptr<const blocked_addresses> addresses(std::span<const membership::listed_host> hosts,
                                                       const config::accepted_revision* revision) const;

private:
    std::set<std::string> names_;
};

} // namespace galenabay::daemon
