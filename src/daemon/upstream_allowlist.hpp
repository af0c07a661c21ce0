#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/config/accepted_revision.hpp>

#include <cstdint>
#include <unordered_set>

namespace galenabay::daemon
{

/// Which upstreams may get packets of which service address. Immutable after
/// construction; shared by threads.
///
/// Last check before the socket, independent of the steering decision: an
/// upstream is allowed when it belongs, or in an earlier generation belonged, to
/// the service that the packet was decided for at this address.
class upstream_allowlist
{
public:
    upstream_allowlist() = default;
    explicit upstream_allowlist(const config::accepted_revision& revision);

    bool allows(config::service_id service, const base::endpoint& address, const base::endpoint& upstream) const;

    /// True when any service may use this upstream at this address.
    bool allows_any(const base::endpoint& address, const base::endpoint& upstream) const;

private:
    void add_all(config::service_id service, const base::endpoint& address,
                 const std::vector<config::upstream>& upstreams);

    std::unordered_set<std::uint64_t> triples_;
    std::unordered_set<std::uint64_t> pairs_;
};

} // namespace galenabay::daemon
