#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/config/accepted_revision.hpp>

#include <cstdint>
#include <unordered_set>

namespace galenabay::daemon
{

/// Upstreams to which packets of each service address may be sent. Immutable after construction; shared by threads.
///
/// Used in the last check before a packet is sent, independent of the steering decision: an upstream is allowed when it
/// belongs to the service chosen for the packet at this address, or belonged to it in an earlier generation.
class upstream_allowlist
{
public:
    upstream_allowlist() = default;
    explicit upstream_allowlist(const config::accepted_revision& revision);

    /// Returns true when `service` may use this upstream at this address.
    bool allows(config::service_id service, const base::endpoint& address, const base::endpoint& upstream) const;

    /// Returns true when any service may use this upstream at this address.
    bool allows_any(const base::endpoint& address, const base::endpoint& upstream) const;

private:
    void add_all(config::service_id service, const base::endpoint& address,
                 const std::vector<config::upstream>& upstreams);

    std::unordered_set<std::uint64_t> triples_;
    std::unordered_set<std::uint64_t> pairs_;
};

} // namespace galenabay::daemon
