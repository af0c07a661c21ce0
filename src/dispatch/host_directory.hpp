#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/membership/host.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace galenabay::dispatch
{

/// Number of witnesses of a claim, those of the same data centre first. A witness
/// is a host that records another host's claim on a request before the request
/// runs or is refused, so that the record survives the loss of the claiming host.
constexpr std::size_t max_witnesses = 2;

/// When a host or data centre went missing, and when it came back.
struct absence
{
    std::optional<base::time_point> since;
    std::optional<base::time_point> ended;

    /// Records whether it is present now.
    void update(bool is_present, base::time_point now);

    /// Returns true while the absence lasts, but only for `span` after its start.
    bool is_ongoing(base::duration span, base::time_point now) const;
    /// Returns true while `is_ongoing` is true, and for `span` after the end of the
    /// absence.
    bool is_recent(base::duration span, base::time_point now) const;
};

/// The live hosts as seen by this host, and which hosts and data centres are
/// missing.
class host_directory
{
public:
    explicit host_directory(std::string self, std::string data_centre);

    /// Sets the live hosts.
    void set_live(std::span<const membership::live_host> hosts, base::time_point now);

    /// Sets the hosts that exist, whether alive or not.
    void set_listed(std::span<const membership::listed_host> hosts, base::time_point now);

    /// Returns the data centres that have hosts, whether alive or not. Sorted.
    std::vector<std::string> data_centres() const;

    /// Returns the live hosts of a data centre in rendezvous order for `key`;
    /// element 0 decides.
    std::vector<std::string> ranked(const std::string& data_centre, std::uint64_t key) const;

    /// Returns the live hosts outside a data centre in rendezvous order for `key`.
    std::vector<std::string> ranked_elsewhere(const std::string& data_centre, std::uint64_t key) const;

    bool is_live(const std::string& host) const;

    /// Returns true when a host that didn't announce that it leaves has been
    /// missing for less than `span`.
    bool is_any_host_missing(base::duration span, base::time_point now) const;

    /// As `is_any_host_missing`, for hosts that may have been witnesses for this
    /// data centre: its own hosts (neighbours), and all others when there are
    /// fewer than `max_witnesses` neighbours.
    bool is_witness_missing(base::duration span, base::time_point now) const;

    /// Returns true when a host of this data centre that didn't announce that it
    /// leaves was missing within `span`, whether it is back or not.
    bool was_neighbour_missing(base::duration span, base::time_point now) const;

    /// Returns true when another data centre has no live host, or had none less
    /// than `span` ago.
    bool was_data_centre_missing(base::duration span, base::time_point now) const;

    /// Returns true when a data centre has had no live host for at least `span`.
    bool is_data_centre_unreachable(const std::string& data_centre, base::duration span, base::time_point now) const;

private:
    struct known_host
    {
        std::string data_centre;
        bool is_listed = false;
        bool is_leaving = false;
        absence missing;
    };

    void update_absences(base::time_point now);
    bool is_data_centre_live(const std::string& data_centre) const;
    std::vector<std::string> names_in_order(std::vector<membership::live_host> hosts, std::uint64_t key) const;

    std::string self_;
    std::string data_centre_;
    std::vector<membership::live_host> live_;
    /// Every other host that was listed or seen, by name.
    std::map<std::string, known_host> known_;
    /// Every other data centre that has, or had, hosts.
    std::map<std::string, absence> data_centres_;
};

} // namespace galenabay::dispatch
