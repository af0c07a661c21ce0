#include "host_directory.hpp"

#include <galenabay/membership/rendezvous.hpp>

#include <algorithm>

namespace galenabay::dispatch
{

namespace
{

bool contains(const std::vector<membership::live_host>& hosts, const std::string& name)
{
    return std::any_of(hosts.begin(), hosts.end(), [&](const auto& host) { return host.name == name; });
}

bool is_recent(base::time_point event, base::duration span, base::time_point now)
{
    return event != base::time_point::min() && now - event < span;
}

} // namespace

host_directory::host_directory(std::string self, std::string data_centre)
    : self_{std::move(self)}, data_centre_{std::move(data_centre)}, seen_data_centres_{data_centre_}
{
}

void host_directory::replace(std::span<const membership::live_host> hosts, base::time_point now)
{
    std::vector<membership::live_host> next{hosts.begin(), hosts.end()};
    for (const auto& host : next)
    {
        seen_data_centres_.insert(host.data_centre);
    }
    note_losses(next, now);
    hosts_ = std::move(next);
}

void host_directory::note_losses(const std::vector<membership::live_host>& next, base::time_point now)
{
    for (const auto& old : hosts_)
    {
        if (old.data_centre == data_centre_ && old.name != self_ && !contains(next, old.name))
        {
            neighbour_lost_ = now;
        }
    }
    // A data centre that is silent before or after the change was silent until now.
    if (!silent_data_centres(hosts_).empty() || !silent_data_centres(next).empty())
    {
        data_centre_lost_ = now;
    }
}

std::set<std::string> host_directory::silent_data_centres(const std::vector<membership::live_host>& hosts) const
{
    std::set<std::string> silent = listed_data_centres_;
    silent.insert(seen_data_centres_.begin(), seen_data_centres_.end());
    silent.erase(data_centre_);
    for (const auto& host : hosts)
    {
        silent.erase(host.data_centre);
    }
    return silent;
}

void host_directory::set_data_centres(std::span<const std::string> names)
{
    listed_data_centres_ = std::set<std::string>{names.begin(), names.end()};
}

std::vector<std::string> host_directory::data_centres() const
{
    std::set<std::string> all = listed_data_centres_.empty() ? seen_data_centres_ : listed_data_centres_;
    all.insert(data_centre_);
    return {all.begin(), all.end()};
}

std::vector<std::string> host_directory::names_in_order(std::vector<membership::live_host> hosts,
                                                        std::uint64_t key) const
{
    std::vector<std::string> names;
    for (const std::size_t index : membership::rank_hosts(hosts, key, hosts.size()))
    {
        names.push_back(hosts[index].name);
    }
    return names;
}

std::vector<std::string> host_directory::ranked(const std::string& data_centre, std::uint64_t key) const
{
    std::vector<membership::live_host> members;
    std::copy_if(hosts_.begin(), hosts_.end(), std::back_inserter(members),
                 [&](const auto& host) { return host.data_centre == data_centre; });
    return names_in_order(std::move(members), key);
}

std::vector<std::string> host_directory::ranked_elsewhere(const std::string& data_centre, std::uint64_t key) const
{
    std::vector<membership::live_host> others;
    std::copy_if(hosts_.begin(), hosts_.end(), std::back_inserter(others),
                 [&](const auto& host) { return host.data_centre != data_centre; });
    return names_in_order(std::move(others), key);
}

bool host_directory::is_live(const std::string& host) const
{
    return contains(hosts_, host);
}

bool host_directory::lost_neighbour(base::duration span, base::time_point now) const
{
    return is_recent(neighbour_lost_, span, now);
}

bool host_directory::lost_data_centre(base::duration span, base::time_point now) const
{
    return !silent_data_centres(hosts_).empty() || is_recent(data_centre_lost_, span, now);
}

} // namespace galenabay::dispatch
