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

/// Hosts that witness a claim; those of the same data centre first.
constexpr std::size_t max_witnesses = 2;

/// Since when something has been missing, and when it came back.
struct absence
{
    std::optional<base::time_point> since;
    std::optional<base::time_point> ended;

    void update(bool is_present, base::time_point now);

    /// True while it lasts, for at most `span`.
    bool is_ongoing(base::duration span, base::time_point now) const;
    /// True while it lasts, for at most `span`, and for `span` after its end.
    bool is_recent(base::duration span, base::time_point now) const;
};

/// The live hosts as this host sees them, and which ones it misses.
class host_directory
{
public:
    explicit host_directory(std::string self, std::string data_centre);

    /// The live hosts.
    void set_live(std::span<const membership::live_host> hosts, base::time_point now);

    /// The hosts that exist, whether alive or not.
    void set_listed(std::span<const membership::listed_host> hosts, base::time_point now);

    /// Data centres that have hosts, whether alive or not. Sorted.
    std::vector<std::string> data_centres() const;

    /// Live hosts of a data centre in rendezvous order for `key`; element 0
    /// decides.
    std::vector<std::string> ranked(const std::string& data_centre, std::uint64_t key) const;

    /// Live hosts outside a data centre in rendezvous order for `key`.
    std::vector<std::string> ranked_elsewhere(const std::string& data_centre, std::uint64_t key) const;

    bool is_live(const std::string& host) const;

    /// True when a host that didn't announce that it leaves has been missing
    /// for less than `span`.
    bool is_any_host_missing(base::duration span, base::time_point now) const;

    /// The same for hosts that may have witnessed what a host of this data
    /// centre did: its neighbours, and all others when it has few neighbours.
    bool is_witness_missing(base::duration span, base::time_point now) const;

    /// True when a host of this data centre has been missing within `span`,
    /// whether it is back or not, and didn't announce that it leaves.
    bool was_neighbour_missing(base::duration span, base::time_point now) const;

    /// True when another data centre has no live host, or had none less than
    /// `span` ago.
    bool was_data_centre_missing(base::duration span, base::time_point now) const;

    /// True when a data centre has had no live host for `span`.
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
