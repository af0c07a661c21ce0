#pragma once

#include "upstream_choice.hpp"

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/config/accepted_revision.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenabay::flow
{

/// One upstream of the revision in force or of its lineage.
struct upstream_slot
{
    config::upstream_id id = 0;
    base::endpoint endpoint;
    std::uint32_t service = 0;
    /// Named by the revision in force or its lineage.
    bool listed = false;
    /// Named by the revision in force.
    bool in_set = false;
    /// Takes new flows when healthy.
    bool open = false;
    /// State of `open` before the revision in force.
    bool was_open = false;
    /// Revision that closed it, and when that came in force on the first host.
    std::uint64_t closed_in = 0;
    base::time_point closed_at{};
    /// Another service uses its endpoint now.
    bool endpoint_reassigned = false;
    bool healthy = true;
    /// Last time at which the upstream was known to be unhealthy.
    base::time_point unhealthy_at{};
    bool was_unhealthy = false;
    base::time_point unhealthy_since{};
    /// Last packet from the upstream.
    base::time_point answered_at{};
    bool answered = false;

    /// True when packets of known flows may go there.
    bool reachable() const noexcept { return listed && !endpoint_reassigned; }
};

/// One service of the revision in force or of its lineage.
struct service_slot
{
    config::service_id id = 0;
    base::endpoint address;
    /// False: only the lineage names it.
    bool present = false;
    /// Neither the set nor the lineage names it when false.
    bool listed = false;
    bool draining = false;
    base::duration idle_timeout{300'000'000};
    upstream_choice choice;
    /// All upstreams, those of the lineage included.
    std::vector<std::uint32_t> upstreams;
    /// Hash of the upstreams, weights and first revision of each version; 0 is
    /// in force.
    std::vector<std::uint64_t> version_tags;
    /// The lineage is too short to tell whether another service had the address.
    bool address_uncertain = false;
    /// Versions before these have been forgotten.
    bool history_full = false;
    /// The newest version since which this host knows every flow whose upstream
    /// differs between versions; 0: none.
    std::uint64_t settled_tag = 0;
    /// Since the settled version other hosts may have placed flows on this
    /// host's behalf, because its revision was out of date.
    bool bypassed = false;
    /// Revision that brought the version in force.
    std::uint64_t changed_in = 0;
    /// The first revision with this state, as far as the lineage tells.
    std::uint64_t first_revision = 0;
    /// When the version came in force here.
    base::time_point adopted_at{};
    /// When the first host put the version in force, as far as known here.
    base::time_point changed_at{};
    /// A version that a peer has in force and this host has not; 0: none.
    std::uint32_t awaited_tag = 0;
    base::time_point awaited_since{};
    /// Some address belonged to this service before.
    bool has_former_address = false;
    /// What the slot was built from, to skip unchanged services.
    std::uint64_t fingerprint = 0;
};

/// A service that owned an address before.
struct former_owner
{
    std::uint32_t service = 0;
    /// When this host learned that the service had lost the address.
    base::time_point since{};
};

/// The services of an address.
struct address_owners
{
    static constexpr std::uint32_t none = 0xffffffff;
    std::uint32_t current = none;
    std::vector<former_owner> former;
};

/// Services, upstreams and addresses of the revision in force and its lineage,
/// by index. Indexes stay valid across revisions. Owned by one thread.
class service_index
{
public:
    /// Takes in a revision. Services whose state did not change are kept.
    /// Returns the services whose versions changed.
    std::vector<std::uint32_t> apply_revision(const config::accepted_revision& revision, base::time_point now);

    /// Notes that a service owned an address that it does not own now.
    void add_former_owner(const base::endpoint& address, std::uint32_t service, base::time_point now);

    /// nullptr when no service has or had the address.
    const address_owners* find_address(const base::endpoint& address) const;
    /// `address_owners::none` when unknown.
    std::uint32_t find_service(config::service_id id) const;
    /// By the low 32 bits of both ids; `no_upstream_index` when unknown.
    std::uint32_t find_upstream(std::uint32_t service_low, std::uint32_t upstream_low) const;
    std::uint32_t find_upstream(config::upstream_id id) const;
    std::uint32_t find_upstream(std::uint32_t service, const base::endpoint& endpoint) const;

    service_slot& service(std::uint32_t index) { return services_[index]; }
    const service_slot& service(std::uint32_t index) const { return services_[index]; }
    upstream_slot& upstream(std::uint32_t index) { return upstreams_[index]; }
    const upstream_slot& upstream(std::uint32_t index) const { return upstreams_[index]; }
    std::size_t service_count() const noexcept { return services_.size(); }
    /// Some lineage is full, so earlier states may have been forgotten.
    bool history_incomplete() const noexcept { return history_incomplete_; }
    /// True when `owner` is a service that owns or owned the address.
    static bool owns(const address_owners& owners, std::uint32_t service) noexcept;
    /// The upstream for new flows of a version tag; its index among the versions,
    /// or the number of versions when the tag is not among them.
    std::size_t version_of(std::uint32_t service, std::uint64_t tag) const;
    std::size_t upstream_count() const noexcept { return upstreams_.size(); }

    /// True when a former owner's flows may still arrive.
    bool in_transition(const former_owner& owner, base::time_point now) const;

private:
    struct endpoint_hash
    {
        std::size_t operator()(const base::endpoint& value) const noexcept { return base::hash_endpoint(value); }
    };

    std::uint32_t find_or_add(config::service_id id);
    std::uint32_t find_or_add(std::uint32_t service, const config::service& owner, const config::upstream& target);
    bool build(std::uint32_t index, const config::service& from, const std::vector<config::generation>* lineage);
    void add_version(service_slot& slot, std::uint32_t index, const config::service& owner,
                     const std::vector<config::upstream>& upstreams, std::uint64_t first_revision, bool in_force);
    void take_address(const config::service& owner, std::uint32_t index);
    void release_addresses(base::time_point now);
    void record_change(std::uint32_t index, std::uint64_t revision, base::time_point now);
    void remove_unlisted(base::time_point now);
    void clear(service_slot& slot);
    void mark_uncertain_addresses(const config::accepted_revision& revision);
    void mark_reassigned_endpoints();

    std::vector<service_slot> services_;
    bool history_incomplete_ = false;
    std::vector<upstream_slot> upstreams_;
    std::unordered_map<config::service_id, std::uint32_t> by_service_;
    std::unordered_map<config::upstream_id, std::uint32_t> by_upstream_;
    std::unordered_map<std::uint64_t, std::uint32_t> by_low_bits_;
    std::unordered_map<base::endpoint, address_owners, endpoint_hash> by_address_;
};

} // namespace galenabay::flow
