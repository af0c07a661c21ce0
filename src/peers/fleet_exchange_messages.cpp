#include <galenabay/peers/fleet_exchange.hpp>

#include "demands_codec.hpp"

#include <galenabay/base/invariant.hpp>

#include <algorithm>
#include <ranges>
#include <utility>

// The messages that a host sends, and when.
namespace galenabay::peers
{

namespace
{

/// Size of a full page of loads, in bytes.
constexpr std::size_t page_bytes = 1'200;
/// Largest number of registrations in a datagram, of about 100 bytes each.
constexpr std::size_t max_entries = 8;

std::vector<base::endpoint> addresses_of(const std::vector<member>& members)
{
    std::vector<base::endpoint> addresses;
    addresses.reserve(members.size());
    for (const auto& one : members)
    {
        addresses.push_back(one.address);
    }
    return addresses;
}

/// Removes from `members` those that are in `excluded`, by name.
void exclude(std::vector<member>& members, const std::vector<member>& excluded)
{
    std::erase_if(members,
                  [&](const member& one) {
                      return std::any_of(excluded.begin(), excluded.end(),
                                         [&](const member& other) { return other.name == one.name; });
                  });
}

/// Returns the upstreams with the most votes, ordered by token.
std::vector<upstream_votes> strongest(const vote_totals& votes, std::size_t max_votes)
{
    std::vector<upstream_votes> listed;
    for (const auto& [token, vote] : votes)
    {
        listed.push_back({.token = token, .silent = vote.silent, .unreachable = vote.unreachable});
    }
    const auto count = [](const upstream_votes& vote) { return vote.silent + vote.unreachable; };
    std::sort(listed.begin(), listed.end(),
              [&](const upstream_votes& a, const upstream_votes& b) {
                  return std::pair{count(b), a.token} < std::pair{count(a), b.token};
              });
    listed.resize(std::min(listed.size(), max_votes));
    std::sort(listed.begin(), listed.end());
    return listed;
}

/// Returns the part of `changes` that starts at entry `begin`; `previous` is the revision
/// of the part before, so that a receiver detects a lost part.
upstream_changes part_of(const upstream_changes& changes, std::size_t begin, const steer::store_revision& previous)
{
    const auto end = std::min(begin + max_entries, changes.entries.size());
    const bool is_last = end == changes.entries.size();
    upstream_changes part;
    part.data_centre = changes.data_centre;
    part.entries.assign(changes.entries.begin() + static_cast<std::ptrdiff_t>(begin),
                        changes.entries.begin() + static_cast<std::ptrdiff_t>(end));
    part.previous_revision = previous;
    part.revision = is_last ? changes.revision : part.entries.back().revision;
    if (is_last)
    {
        part.removed = changes.removed;
    }
    return part;
}

/// Returns the demands with the most open requests and new flows that fit into `max_demand_bytes`,
/// ordered by service.
std::vector<service_demand> strongest(std::vector<service_demand> demands)
{
    if (bytes_of(demands) > max_demand_bytes)
    {
        std::sort(demands.begin(), demands.end(),
                  [](const service_demand& a, const service_demand& b)
                  { return a.open_requests + a.admitted > b.open_requests + b.admitted; });
        while (bytes_of(demands) > max_demand_bytes)
        {
            demands.pop_back();
        }
        std::sort(demands.begin(), demands.end());
    }
    return demands;
}

const upstream_load& load_of(const upstream_load& load)
{
    return load;
}

const upstream_load& load_of(const load_totals::value_type& row)
{
    return row.second;
}

} // namespace

void fleet_exchange::update_role(const host_status& own, base::time_point now)
{
    started_ = started_.value_or(now);
    evacuations_ = own.evacuations;
    peers_.set_leaving(own.leaving);
    const bool collected = std::exchange(collects_, now - *started_ >= options_.peers.takeover.startup_wait &&
                                                        peers_.ranks_among(options_.collectors, now));
    if (collects_ && !collected)
    {
        collects_since_ = now;
    }
    if (own.follows_store != std::exchange(follows_store_, own.follows_store))
    {
        watch_changed_at_ = now;
        next_status_ = std::min(next_status_, now + options_.status_interval);
        next_status_to_all_ = std::min(next_status_to_all_, now + options_.status_interval);
    }
}

bool fleet_exchange::should_register(base::time_point now) const
{
    const bool has_collected = collects_ && now - collects_since_ >= options_.registration_delay;
    const bool has_watched = follows_store_ && now - *watch_changed_at_ >= options_.registration_delay;
    return has_collected || has_watched;
}

bool fleet_exchange::is_joining(base::time_point now) const
{
    return now - *started_ < options_.joining_time || live_count(now) == 0;
}

base::duration fleet_exchange::status_interval(const host_status& own, base::time_point now) const
{
    const bool has_watch_changed = watch_changed_at_ && now - *watch_changed_at_ < options_.watch_change_time;
    const bool is_awaited = collects_ || own.follows_store || has_watch_changed || own.leaving || !own.silent.empty() ||
                            !own.unreachable.empty() || is_joining(now);
    const auto spaced = options_.status_spacing * static_cast<std::int64_t>(peers_.live_count(now));
    return is_awaited ? options_.status_interval
                      : std::clamp(spaced, options_.status_interval, options_.longest_status_interval);
}

base::duration fleet_exchange::collector_interval(base::duration interval, base::time_point now) const
{
    const auto spaced = options_.collector_spacing * static_cast<std::int64_t>(peers_.live_count(now));
    return std::clamp(spaced, options_.status_interval, interval);
}

base::duration fleet_exchange::page_interval(base::time_point now) const
{
    const auto bytes = peers_.live_count(now) * page_bytes;
    const auto bounded = std::chrono::microseconds{std::chrono::seconds{1}} * static_cast<std::int64_t>(bytes) /
                         static_cast<std::int64_t>(options_.digest_bytes_per_second);
    return std::max<base::duration>(options_.page_interval, bounded);
}

void fleet_exchange::expedite(base::time_point now)
{
    if (collects_ && now - last_expedited_ >= options_.urgent_interval)
    {
        last_expedited_ = now;
        next_page_ = now;
    }
}

host_status fleet_exchange::stamped(const host_status& own, base::time_point now)
{
    auto status = own;
    status.name = self_.name;
    status.started_us = self_.started_us;
    status.sequence = ++sequence_;
    status.data_centre = self_.data_centre;
    status.joining = false;
    status.with_loads = false;
    status.interval = std::chrono::duration_cast<std::chrono::milliseconds>(status_interval(own, now));
    return status;
}

template <std::ranges::input_range Loads> std::size_t fleet_exchange::max_loads(const Loads& loads) const
{
    const bool is_timed =
        std::ranges::any_of(loads, [](const auto& load) { return !load_of(load).answer_times.is_empty(); });
    return is_timed ? options_.max_timed_loads : options_.max_loads;
}

host_status fleet_exchange::with_loads(host_status status) const
{
    const auto heavier = [](const upstream_load& a, const upstream_load& b)
    { return a.flows + a.open_requests > b.flows + b.open_requests; };
    std::sort(status.loads.begin(), status.loads.end(), heavier);
    status.demands = strongest(std::move(status.demands));
    const auto most = max_loads(status.loads) - loads_displaced_by(status.demands);
    status.loads.resize(std::min(status.loads.size(), most));
    status.with_loads = true;
    return status;
}

std::vector<outgoing_message> fleet_exchange::on_tick(const host_status& own, base::time_point now)
{
    update_role(own, now);
    std::vector<outgoing_message> out;
    if (now >= next_status_)
    {
        const bool to_all = now >= next_status_to_all_;
        add_statuses(own, to_all, out, now);
        const auto interval = status_interval(own, now);
        next_status_ = now + collector_interval(interval, now);
        if (to_all)
        {
            next_status_to_all_ = now + interval;
        }
    }
    if (is_joining(now) && now >= next_joining_)
    {
        const bool is_new = now - *started_ < options_.joining_time;
        next_joining_ = now + (is_new ? options_.status_interval : options_.rejoin_interval);
        add_joining(own, out, now);
    }
    if (now >= next_page_)
    {
        next_page_ = now + page_interval(now);
        if (collects_ && now >= quarantine_until_)
        {
            add_summaries(own, out, now);
            add_digest(out, now);
        }
    }
    return out;
}

std::vector<outgoing_message> fleet_exchange::on_urgent(const host_status& own, base::time_point now)
{
    update_role(own, now);
    std::vector<outgoing_message> out;
    add_statuses(own, true, out, now);
    expedite(now);
    return out;
}

void fleet_exchange::add_statuses(const host_status& own, bool to_all, std::vector<outgoing_message>& out,
                                  base::time_point now)
{
    auto status = stamped(own, now);
    const auto collectors = peers_.first_ranked(options_.collectors, now);
    auto others = peers_.local_members();
    exclude(others, collectors);
    if (to_all && !others.empty())
    {
        auto brief = status;
        brief.loads.clear();
        brief.demands.clear();
        out.push_back({.content = std::move(brief), .to = addresses_of(others)});
    }
    status = with_loads(std::move(status));
    reported_loads_ = status.loads;
    reported_demands_ = status.demands;
    if (!collectors.empty())
    {
        out.push_back({.content = std::move(status), .to = addresses_of(collectors)});
    }
}

void fleet_exchange::add_joining(const host_status& own, std::vector<outgoing_message>& out, base::time_point now)
{
    constexpr std::size_t asked_hosts = 4;
    // A seed may collect the loads of this data centre.
    auto status = with_loads(stamped(own, now));
    status.joining = true;
    auto to = seeds_;
    auto known = peers_.remote_members();
    for (std::size_t i = 0; i < asked_hosts && !known.empty(); ++i)
    {
        to.push_back(known[random_.below(known.size())].address);
    }
    if (!to.empty())
    {
        out.push_back({.content = std::move(status), .to = std::move(to)});
    }
}

collector_stamp fleet_exchange::make_stamp(base::time_point now)
{
    return {.sender = {.name = self_.name, .address = self_.address, .data_centre = self_.data_centre},
            .started_us = self_.started_us,
            .sequence = ++sequence_,
            .hosts = peers_.reporting_count(now) + 1};
}

std::vector<base::endpoint> fleet_exchange::summary_targets(base::time_point now)
{
    std::map<std::string, std::vector<base::endpoint>> collectors;
    std::map<std::string, std::vector<base::endpoint>> known;
    for (const auto& [data_centre, sums] : summaries_)
    {
        for (const auto& [name, collector] : sums.collectors)
        {
            auto& group = is_live(collector, now) ? collectors : known;
            group[data_centre].push_back(collector.stamp.sender.address);
        }
    }
    for (const auto& other : peers_.remote_members())
    {
        known[other.data_centre].push_back(other.address);
    }
    std::vector<base::endpoint> targets;
    for (const auto& [data_centre, addresses] : known)
    {
        if (!collectors.contains(data_centre))
        {
            targets.push_back(addresses[random_.below(addresses.size())]);
        }
    }
    for (const auto& [data_centre, addresses] : collectors)
    {
        targets.push_back(addresses[summaries_sent_ % addresses.size()]);
    }
    return targets;
}

void fleet_exchange::add_summaries(const host_status& own, std::vector<outgoing_message>& out, base::time_point now)
{
    load_totals totals;
    peers_.add_loads(totals, now);
    for (const auto& load : own.loads)
    {
        add_load(totals, load, base::duration{0});
    }
    vote_totals votes;
    peers_.add_votes(votes, now);
    for (const auto token : own.silent)
    {
        ++votes[token].silent;
    }
    for (const auto token : own.unreachable)
    {
        ++votes[token].unreachable;
    }
    auto demands = collected_demands(now).local;
    demands.services = strongest(std::move(demands.services));
    const auto displaced = loads_displaced_by(demands.services);
    load_summary summary{.collector = make_stamp(now),
                         .follows_store = own.follows_store || peers_.has_follower(now),
                         .configuration_version = own.configuration_version,
                         .upstreams_revision = own.upstreams_revision,
                         .page = summary_cursor_.next(totals, max_loads(totals) - displaced),
                         .votes = strongest(votes, options_.max_votes),
                         .relayed = false,
                         .evacuations = own.evacuations,
                         .demands = std::move(demands)};
    if (auto targets = summary_targets(now); !targets.empty())
    {
        ++summaries_sent_;
        out.push_back({.content = std::move(summary), .to = std::move(targets)});
    }
}

void fleet_exchange::add_digest(std::vector<outgoing_message>& out, base::time_point now)
{
    auto receivers = peers_.local_members();
    exclude(receivers, peers_.first_ranked(options_.collectors, now));
    if (receivers.empty())
    {
        return;
    }
    auto totals = remote_loads(now);
    for (const auto& load : reported_loads_)
    {
        add_load(totals, load, base::duration{0});
    }
    auto demands = this->demands(now).value_or(collected_demands(now));
    demands.local.services = strongest(std::move(demands.local.services));
    demands.remote.services = strongest(std::move(demands.remote.services));
    const auto displaced = loads_displaced_by(demands.local.services) + loads_displaced_by(demands.remote.services);
    load_digest digest{.collector = make_stamp(now),
                       .remote_hosts = remote_hosts(now),
                       .page = digest_cursor_.next(totals, max_loads(totals) - displaced),
                       .remote_votes = strongest(remote_votes(now), options_.max_votes),
                       .members = {},
                       .evacuations = evacuations_,
                       .local_demands = std::move(demands.local),
                       .remote_demands = std::move(demands.remote)};
    for (std::size_t i = 0; i < options_.digest_members; ++i)
    {
        digest.members.push_back(receivers[random_.below(receivers.size())]);
    }
    out.push_back({.content = std::move(digest), .to = addresses_of(receivers)});
}

std::vector<base::endpoint> fleet_exchange::collectors_without_store(base::time_point now) const
{
    std::vector<base::endpoint> found;
    for (const auto& [data_centre, sums] : summaries_)
    {
        const known_collector* receiver = nullptr;
        bool follows_store = false;
        for (const auto& [name, collector] : sums.collectors)
        {
            if (is_live(collector, now))
            {
                receiver = &collector;
                follows_store = follows_store || collector.follows_store;
            }
        }
        if (receiver != nullptr && !follows_store)
        {
            found.push_back(receiver->stamp.sender.address);
        }
    }
    return found;
}

std::vector<outgoing_message> fleet_exchange::on_changes(const upstream_changes& changes, base::time_point now) const
{
    auto to = addresses_of(peers_.local_members());
    const auto remote = collectors_without_store(now);
    to.insert(to.end(), remote.begin(), remote.end());
    return split(changes, to);
}

std::vector<outgoing_message> fleet_exchange::split(upstream_changes changes,
                                                    const std::vector<base::endpoint>& to) const
{
    changes.data_centre = self_.data_centre;
    std::sort(changes.entries.begin(), changes.entries.end(),
              [](const auto& a, const auto& b) { return a.revision < b.revision; });
    std::vector<outgoing_message> out;
    auto previous = changes.previous_revision;
    for (std::size_t begin = 0; begin == 0 || begin < changes.entries.size(); begin += max_entries)
    {
        auto part = part_of(changes, begin, previous);
        previous = part.revision;
        out.push_back({.content = std::move(part), .to = to});
    }
    return out;
}

} // namespace galenabay::peers
