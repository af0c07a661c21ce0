#pragma once

#include "upstream_choice.hpp"

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/config/accepted_revision.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
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
    /// Contained in the revision in force or its lineage.
    bool listed = false;
    /// Contained in the revision in force.
    bool in_set = false;
    /// Accepts new flows when healthy.
    bool open = false;
    /// Value of `open` before the revision in force.
    bool was_open = false;
    /// Revision in which it stopped accepting new flows, and when the first host
    /// put that in force.
    std::uint64_t closed_in = 0;
    base::time_point closed_at{};
    /// Another service uses its endpoint now.
    bool endpoint_reassigned = false;
    bool healthy = true;
    /// Last time at which the upstream was known to be unhealthy.
    base::time_point unhealthy_at{};
    /// `unhealthy_at` has been set.
    bool was_unhealthy = false;
    /// When this host received the first of the present unhealthy reports.
    base::time_point unhealthy_since{};
    /// Last answer from the upstream.
    base::time_point answered_at{};
    /// `answered_at` has been set.
    bool answered = false;

    /// Returns true when packets of known flows may be sent to it.
    bool reachable() const noexcept { return listed && !endpoint_reassigned; }
};

/// A version of a service that a peer has in force and this host does not know.
struct awaited_version
{
    /// Low 32 bits of its tag.
    std::uint32_t tag = 0;
    /// When the first peer put it in force, as far as this host knows.
    base::time_point since{};
};

/// One service of the revision in force or of its lineage.
struct service_slot
{
    config::service_id id = 0;
    base::endpoint address;
    /// Contained in the revision in force, not only in its lineage.
    bool present = false;
    /// Contained in the revision in force or its lineage.
    bool listed = false;
    bool draining = false;
    base::duration idle_timeout{300'000'000};
    upstream_choice choice;
    /// All upstreams, those of the lineage included.
    std::vector<std::uint32_t> upstreams;
    /// Hash of the upstreams, weights and first revision of each version. The
    /// version at index 0 is in force.
    std::vector<std::uint64_t> version_tags;
    /// The lineage is too short to show whether another service had the address.
    bool address_uncertain = false;
    /// As above, and the service had another address before.
    bool address_taken = false;
    /// The lineage has its full length, so older versions may be missing.
    bool history_full = false;
    /// Tag of the newest version since whose adoption this host has records of
    /// every flow whose upstream differs between versions; 0: none.
    std::uint64_t settled_tag = 0;
    /// True when, since the settled version, other hosts may have placed flows for
    /// which this host ranks first, because this host's revision was out of date.
    bool bypassed = false;
    /// Revision that put the present version in force on this host.
    std::uint64_t changed_in = 0;
    /// The first revision with this version, as far as the lineage shows.
    std::uint64_t first_revision = 0;
    /// When this host put the version in force.
    base::time_point adopted_at{};
    /// When the first host put the version in force, as far as this host knows.
    base::time_point changed_at{};
    /// Versions that are in force at a peer and unknown to this host.
    std::vector<awaited_version> awaited;
    /// The service owned an address that it does not own now.
    bool has_former_address = false;
    /// Adds an awaited version, or sets back the time of a known one.
    void await_version(std::uint32_t tag, base::time_point since);
    /// Returns when a peer put the first of the awaited versions in force; empty
    /// when there are none.
    std::optional<base::time_point> awaited_since() const;
    /// Removes the awaited versions that have arrived. Returns when the first peer
    /// put one of the awaited versions in force: the one that has arrived, a later
    /// one, or an earlier one that this host skipped. `now` when there were none.
    base::time_point end_wait(base::time_point now);
    /// Hash of the service and lineage from which the slot was built; unchanged
    /// services are not rebuilt.
    std::uint64_t fingerprint = 0;
};

/// A service that owned an address before.
struct former_owner
{
    std::uint32_t service = 0;
    /// When this host detected that the service no longer owns the address.
    base::time_point since{};
};

/// The service that owns an address and those that owned it before, by index.
struct address_owners
{
    static constexpr std::uint32_t none = 0xffffffff;
    std::uint32_t current = none;
    std::vector<former_owner> former;
};

/// Index of the services, upstreams and addresses of the revision in force and
/// its lineage. Index numbers stay valid across revisions. Owned by one thread.
class service_index
{
public:
    /// Rebuilds the index from a revision; services that did not change are
    /// kept. Returns the services whose versions changed.
    std::vector<std::uint32_t> apply_revision(const config::accepted_revision& revision, base::time_point now);

    /// Records that a service owned an address that it does not own now. Does
    /// nothing when the service owns it.
    void add_former_owner(const base::endpoint& address, std::uint32_t service, base::time_point now);

    /// Returns nullptr when no service owns or owned the address.
    const address_owners* find_address(const base::endpoint& address) const;
    /// Returns `address_owners::none` when the service is unknown.
    std::uint32_t find_service(config::service_id id) const;
    /// Finds an upstream by the low 32 bits of both ids. This and the other
    /// overloads return `no_upstream_index` when it is unknown.
    std::uint32_t find_upstream(std::uint32_t service_low, std::uint32_t upstream_low) const;
    std::uint32_t find_upstream(config::upstream_id id) const;
    std::uint32_t find_upstream(std::uint32_t service, const base::endpoint& endpoint) const;

    service_slot& service(std::uint32_t index) { return services_[index]; }
    const service_slot& service(std::uint32_t index) const { return services_[index]; }
    upstream_slot& upstream(std::uint32_t index) { return upstreams_[index]; }
    const upstream_slot& upstream(std::uint32_t index) const { return upstreams_[index]; }
    std::size_t service_count() const noexcept { return services_.size(); }
    /// Returns true when some lineage has its full length, so that earlier
    /// states may be missing.
    bool history_incomplete() const noexcept { return history_incomplete_; }
    /// Returns true when `service` owns or owned the address.
    static bool owns(const address_owners& owners, std::uint32_t service) noexcept;
    /// Returns the index of a tag among the versions of the service, or the
    /// number of versions when the tag is not among them.
    std::size_t version_of(std::uint32_t service, std::uint64_t tag) const;
    std::size_t upstream_count() const noexcept { return upstreams_.size(); }

    /// Returns true while packets for flows of a former owner may still arrive:
    /// for the idle timeout of that service.
    bool in_transition(const former_owner& owner, base::time_point now) const;

private:
    struct endpoint_hash
    {
        std::size_t operator()(const base::endpoint& value) const noexcept { return base::hash_endpoint(value); }
    };

    std::uint32_t find_or_add(config::service_id id);
    std::uint32_t find_or_add(std::uint32_t service, const config::service& owner, const config::upstream& target);
    /// Rebuilds a service from its state and lineage; `lineage` may be null.
    /// Returns true when its versions changed.
    bool build(std::uint32_t index, const config::service& from, const std::vector<config::generation>* lineage);
    void add_version(service_slot& slot, std::uint32_t index, const config::service& owner,
                     const std::vector<config::upstream>& upstreams, std::uint64_t first_revision, bool in_force);
    /// Makes the service the current owner of its address.
    void take_address(const config::service& owner, std::uint32_t index);
    /// Turns every current owner of an address into a former one.
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
