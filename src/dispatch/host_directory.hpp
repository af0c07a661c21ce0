#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/membership/host.hpp>

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace galenabay::dispatch
{

/// The live hosts as this host sees them, and when some were lost.
class host_directory
{
public:
    explicit host_directory(std::string self, std::string data_centre);

    void replace(std::span<const membership::live_host> hosts, base::time_point now);

    /// Data centres that have hosts, whether alive or not. Sorted.
    void set_data_centres(std::span<const std::string> names);
    std::vector<std::string> data_centres() const;

    /// Live hosts of a data centre in rendezvous order for `key`; element 0
    /// decides.
    std::vector<std::string> ranked(const std::string& data_centre, std::uint64_t key) const;

    /// Live hosts outside a data centre in rendezvous order for `key`.
    std::vector<std::string> ranked_elsewhere(const std::string& data_centre, std::uint64_t key) const;

    bool is_live(const std::string& host) const;
    const std::string& self() const noexcept { return self_; }
    const std::string& own_data_centre() const noexcept { return data_centre_; }
    bool is_self_listed() const { return is_live(self_); }

    /// True when a host of this data centre was lost less than `span` ago.
    bool lost_neighbour(base::duration span, base::time_point now) const;
    /// True when another data centre has no live host, or had none less than
    /// `span` ago.
    bool lost_data_centre(base::duration span, base::time_point now) const;

private:
    void note_losses(const std::vector<membership::live_host>& next, base::time_point now);
    std::vector<std::string> names_in_order(std::vector<membership::live_host> hosts, std::uint64_t key) const;
    std::set<std::string> silent_data_centres(const std::vector<membership::live_host>& hosts) const;

    std::string self_;
    std::string data_centre_;
    std::vector<membership::live_host> hosts_;
    std::set<std::string> seen_data_centres_;
    std::set<std::string> listed_data_centres_;
    base::time_point neighbour_lost_ = base::time_point::min();
    base::time_point data_centre_lost_ = base::time_point::min();
};

} // namespace galenabay::dispatch
