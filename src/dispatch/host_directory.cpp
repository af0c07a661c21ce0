#include "host_directory.hpp"

#include <galenabay/membership/rendezvous.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace galenabay::dispatch
{

void absence::update(bool is_present, base::time_point now)
{
    if (is_present && since)
    {
        since.reset();
        ended = now;
    }
    else if (!is_present && !since)
    {
        since = now;
    }
}

bool absence::is_ongoing(base::duration span, base::time_point now) const
{
    return since && now - *since < span;
}

bool absence::is_recent(base::duration span, base::time_point now) const
{
    return is_ongoing(span, now) || (ended && now - *ended < span);
}

host_directory::host_directory(std::string self, std::string data_centre)
    : self_{std::move(self)}, data_centre_{std::move(data_centre)}
{
}

void host_directory::set_live(std::span<const membership::live_host> hosts, base::time_point now)
{
    live_.assign(hosts.begin(), hosts.end());
    for (const auto& host : live_)
    {
        if (host.name != self_)
        {
            known_[host.name].data_centre = host.data_centre;
        }
    }
    update_absences(now);
}

void host_directory::set_listed(std::span<const membership::listed_host> hosts, base::time_point now)
{
    for (auto& [name, host] : known_)
    {
        host.is_listed = false;
    }
    for (const auto& row : hosts)
    {
        if (row.name != self_)
        {
            known_host& host = known_[row.name];
            host.data_centre = row.data_centre;
            host.is_listed = true;
            host.is_leaving = row.leaving;
        }
    }
    update_absences(now);
}

void host_directory::update_absences(base::time_point now)
{
    for (auto& [name, host] : known_)
    {
        const bool is_present = is_live(name);
        host.is_leaving = host.is_leaving && !(is_present && !host.is_listed);
        host.missing.update(is_present, now);
        if (host.data_centre != data_centre_)
        {
            data_centres_.try_emplace(host.data_centre);
        }
    }
    for (auto& [name, missing] : data_centres_)
    {
        missing.update(is_data_centre_live(name), now);
    }
}

std::vector<std::string> host_directory::data_centres() const
{
    const bool has_list = std::any_of(known_.begin(), known_.end(), [](const auto& h) { return h.second.is_listed; });
    std::vector<std::string> names{data_centre_};
    for (const auto& [name, host] : known_)
    {
        if (host.is_listed || !has_list || is_live(name))
        {
            names.push_back(host.data_centre);
        }
    }
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
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
    std::copy_if(live_.begin(), live_.end(), std::back_inserter(members),
                 [&](const auto& host) { return host.data_centre == data_centre; });
    return names_in_order(std::move(members), key);
}

std::vector<std::string> host_directory::ranked_elsewhere(const std::string& data_centre, std::uint64_t key) const
{
    std::vector<membership::live_host> others;
    std::copy_if(live_.begin(), live_.end(), std::back_inserter(others),
                 [&](const auto& host) { return host.data_centre != data_centre; });
    return names_in_order(std::move(others), key);
}

bool host_directory::is_live(const std::string& host) const
{
    return std::any_of(live_.begin(), live_.end(), [&](const auto& live) { return live.name == host; });
}

bool host_directory::is_data_centre_live(const std::string& data_centre) const
{
    return std::any_of(live_.begin(), live_.end(), [&](const auto& live) { return live.data_centre == data_centre; });
}

bool host_directory::is_witness_missing(base::duration span, base::time_point now) const
{
    const auto is_neighbour = [&](const auto& entry) { return entry.second.data_centre == data_centre_; };
    const auto neighbours = static_cast<std::size_t>(std::count_if(known_.begin(), known_.end(), is_neighbour));
    return std::any_of(known_.begin(), known_.end(),
                       [&](const auto& entry)
                       {
                           const bool is_possible_witness = is_neighbour(entry) || neighbours < max_witnesses;
                           return is_possible_witness && !entry.second.is_leaving &&
                                  entry.second.missing.is_ongoing(span, now);
                       });
}

bool host_directory::was_neighbour_missing(base::duration span, base::time_point now) const
{
    return std::any_of(known_.begin(), known_.end(),
                       [&](const auto& entry)
                       {
                           const known_host& host = entry.second;
                           return host.data_centre == data_centre_ && !host.is_leaving &&
                                  host.missing.is_recent(span, now);
                       });
}

bool host_directory::is_any_host_missing(base::duration span, base::time_point now) const
{
    return std::any_of(known_.begin(), known_.end(),
                       [&](const auto& entry)
                       { return !entry.second.is_leaving && entry.second.missing.is_ongoing(span, now); });
}

bool host_directory::was_data_centre_missing(base::duration span, base::time_point now) const
{
    return std::any_of(data_centres_.begin(), data_centres_.end(),
                       [&](const auto& entry) { return entry.second.since || entry.second.is_recent(span, now); });
}

bool host_directory::is_data_centre_unreachable(const std::string& data_centre, base::duration span,
                                                base::time_point now) const
{
    const auto known = data_centres_.find(data_centre);
    return known != data_centres_.end() && known->second.since && now - *known->second.since >= span;
}

} // namespace galenabay::dispatch
