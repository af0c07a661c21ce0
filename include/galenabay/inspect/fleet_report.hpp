#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/error.hpp>
#include <galenabay/steer/answer_time_report.hpp>
#include <galenabay/steer/evacuations.hpp>
#include <galenabay/steer/store_revision.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace galenabay::inspect
{

/// Registrations of one service. Plain value.
struct service_counts
{
    std::size_t ready = 0;
    std::size_t draining = 0;

    friend auto operator<=>(const service_counts&, const service_counts&) = default;
};

/// What the platform's store holds. Plain value.
struct store_contents
{
    steer::store_revision revision;
    /// Version and number of routes of the configuration; 0 when there is none.
    std::uint64_t configuration_version = 0;
    std::size_t routes = 0;
    std::map<std::string, service_counts> services;
    /// Data centres of the usable registrations.
    std::set<std::string> data_centres;
    /// Evacuations, as of the revision at which they were listed.
    steer::evacuation_set evacuations;
    /// Names of objects that cannot be used.
    std::vector<std::string> unusable;

    friend auto operator<=>(const store_contents&, const store_contents&) = default;
};

/// What one host answers about itself.
struct host_answer
{
    std::string name;
    std::string data_centre;
    base::endpoint address;
    /// Why the host did not answer; empty when it did.
    std::optional<base::error> failure;
    /// Version in force; 0 for none.
    std::uint64_t configuration_version = 0;
    /// Store revision of the last change of the upstreams that it applied, and their number.
    steer::store_revision upstreams_revision;
    std::size_t upstreams = 0;
    /// The evacuations that it adopted last; empty when it does not evacuate data centres.
    std::optional<steer::evacuation_set> evacuations{};
    /// Its estimates of the upstreams, and why it did not give them; empty when it did.
    steer::answer_time_report answer_times{};
    std::optional<base::error> answer_times_failure{};
    /// New flows that it refused for lack of room while slots were free by the latest sums; empty when the host does
    /// not tell.
    std::optional<std::uint64_t> refused_with_free_slots{};
    /// New flows a second that it may send to each starting upstream of which it has a share, and
    /// the number of flows that it refused because of such rates since its process started.
    std::map<std::string, double> share_rates{};
    std::uint64_t limited_flows = 0;
    /// SYNs that the host passed on to others because of such a rate, and flows that it opened for others.
    std::uint64_t relayed_syns = 0;
    std::uint64_t opened_for_others = 0;
};

/// A store and the hosts that it lists, as they were when they were read.
struct fleet_report
{
    store_contents store;
    std::vector<host_answer> hosts;
};

/// Returns true when a host has evacuated the data centres that the store lists, or has a list that is newer than the
/// store's when it was read.
bool has_evacuated(const host_answer& host, const store_contents& store);
/// Returns true when a host has the store's configuration in force, or a later one, has seen
/// the store's present epoch and has evacuated the data centres that the store lists.
bool is_current(const host_answer& host, const store_contents& store);
/// Returns true when all listed hosts answered and are current.
bool is_current(const fleet_report& report);
/// Returns the lines that `galenactl inspect` prints.
std::vector<std::string> describe(const fleet_report& report);

} // namespace galenabay::inspect
