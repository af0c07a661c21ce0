#pragma once

#include <galenabay/config/service_set.hpp>
#include <galenabay/membership/host.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenabay::flow
{

/// Ranks the live hosts for a flow key by rendezvous hashing.
///
/// The first host of a ranking decides on flows that a host can't decide alone;
/// the second one holds a copy of its records. In a fleet of more than
/// `max_group` hosts only `max_group` of them, chosen by service, take part.
/// Owned by one thread.
class host_ranking
{
public:
    static constexpr std::size_t max_group = 16;
    /// Number of hosts by which the rankings of two hosts may differ. A packet with
    /// more hops than this and the hosts before this one has visited every host.
    static constexpr std::size_t max_difference = 2;

    /// Replaces the hosts; `self` is the name of this host. Returns true when
    /// the set of names has changed.
    bool set_hosts(std::span<const membership::live_host> hosts, const std::string& self);

    const std::vector<membership::live_host>& hosts() const noexcept { return hosts_; }
    bool is_self(std::size_t host) const noexcept { return host == self_; }
    /// Returns the number of hosts other than this one.
    std::size_t peer_count() const noexcept { return hosts_.size() - (self_ < hosts_.size() ? 1 : 0); }
    /// Returns true when this host is among the hosts.
    bool has_self() const noexcept { return self_ < hosts_.size(); }
    /// Returns a 16-bit hash of the set of names.
    std::uint16_t set_hash() const noexcept { return set_hash_; }

    /// Returns the host after this one in the ranking, or the first host when
    /// this one does not take part. Empty when this host is the last one.
    std::optional<std::size_t> next(config::service_id service, std::uint64_t key) const;

    /// Returns the first host of the ranking; empty when that is this host or
    /// there is none.
    std::optional<std::size_t> first(config::service_id service, std::uint64_t key) const;

    /// Returns the number of hosts before this one in the ranking; the number
    /// of all hosts when this one is not among them.
    std::size_t position(config::service_id service, std::uint64_t key) const;

    /// Returns true when the host is the first or second of the ranking and so
    /// holds records of the flow.
    bool keeps_records(std::size_t host, config::service_id service, std::uint64_t key) const;
    /// As above, for this host; false when it is not among the hosts.
    bool self_keeps_records(config::service_id service, std::uint64_t key) const;

private:
    const std::vector<std::size_t>& group(config::service_id service) const;
    std::uint64_t weight(std::size_t host, std::uint64_t key) const noexcept;

    std::vector<membership::live_host> hosts_;
    std::size_t self_ = 0;
    std::uint16_t set_hash_ = 0;
    std::vector<std::size_t> all_;
    mutable std::unordered_map<config::service_id, std::vector<std::size_t>> groups_;
};

} // namespace galenabay::flow
