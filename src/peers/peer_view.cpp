#include <galenabay/peers/peer_view.hpp>

#include <galenabay/base/hash.hpp>

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

namespace galenabay::peers
{

namespace
{

/// Sort key of the order in which hosts take over the watch of the store. It refers to `name`.
auto rank_of(const std::string& name)
{
    return std::pair{base::hash_text(name), std::string_view{name}};
}

} // namespace

peer_view::peer_view(std::string name, std::string data_centre, peer_options options)
    : name_{std::move(name)}, data_centre_{std::move(data_centre)}, options_{options}, takeover_{options.takeover}
{
}

bool peer_view::on_status(const host_status& status, const base::endpoint& from, base::time_point now)
{
    if (status.name == name_ || status.name.empty())
    {
        return false;
    }
    auto& known = peers_[status.name];
    // The time of day may jump back while a host restarts, so a new start time of a host
    // that was silent is accepted even when it is earlier.
    const bool is_restart = status.started_us != known.status.started_us && !is_live(known, now);
    const auto order = [](const host_status& value) { return std::tuple{value.started_us, value.sequence}; };
    if (known.has_status && !is_restart && order(status) <= order(known.status))
    {
        return false;
    }
    known.address = from;
    known.data_centre = status.data_centre;
    known.status = status;
    known.last_seen = now;
    known.has_status = true;
    return true;
}

const host_status* peer_view::status_of(const std::string& name) const
{
    const auto known = peers_.find(name);
    return known == peers_.end() || !known->second.has_status ? nullptr : &known->second.status;
}

bool peer_view::on_listed(const member& listed, bool in_store, base::time_point now)
{
    if (listed.name == name_ || listed.name.empty())
    {
        return false;
    }
    const auto [row, is_new] = peers_.try_emplace(listed.name);
    auto& known = row->second;
    const bool has_moved = known.address != listed.address;
    if (is_new || (has_moved && !is_live(known, now)))
    {
        known.address = listed.address;
        known.last_seen = now;
    }
    if (known.data_centre.empty())
    {
        known.data_centre = listed.data_centre;
    }
    known.in_store = known.in_store || in_store;
    return is_new;
}

std::vector<std::string> peer_view::expire(base::time_point now)
{
    const auto local =
        std::count_if(peers_.begin(), peers_.end(), [&](const auto& row) { return is_local(row.second); });
    const bool has_majority = live_count(now) * 2 > static_cast<std::size_t>(local);
    std::vector<std::string> lost;
    std::erase_if(peers_,
                  [&](const auto& row)
                  {
                      const auto& [name, other] = row;
                      if (now - other.last_seen < options_.address_retention)
                      {
                          return false;
                      }
                      if (other.in_store && is_local(other))
                      {
                          lost.push_back(name);
                      }
                      return true;
                  });
    return has_majority && ranks_among(1, now) ? lost : std::vector<std::string>{};
}

bool peer_view::is_live(const peer& other, base::time_point now) const
{
    const base::duration named{other.status.interval};
    const auto interval = std::max(named, options_.default_interval);
    const auto timeout = std::chrono::duration_cast<base::duration>(interval * options_.status_timeout_intervals);
    return other.has_status && now - other.last_seen < timeout;
}

template <typename Visitor> void peer_view::for_each_live(base::time_point now, Visitor visit) const
{
    for (const auto& [name, other] : peers_)
    {
        if (is_local(other) && is_live(other, now))
        {
            visit(other);
        }
    }
}

bool peer_view::ranks_among(std::size_t count, base::time_point now) const
{
    const auto own_rank = rank_of(name_);
    std::size_t before = 0;
    for_each_live(now, [&](const peer& other)
                  { before += !other.status.leaving && rank_of(other.status.name) < own_rank ? 1 : 0; });
    return !leaving_ && before < count;
}

std::optional<std::size_t> peer_view::rank_for(std::uint64_t key, base::time_point now) const
{
    if (leaving_)
    {
        return std::nullopt;
    }
    const auto rank_by_key = [&](const std::string& name) {
        return std::pair{base::mix(base::hash_text(name), key), std::string_view{name}};
    };
    const auto own_rank = rank_by_key(name_);
    std::size_t before = 0;
    for_each_live(now, [&](const peer& other)
                  { before += !other.status.leaving && rank_by_key(other.status.name) < own_rank ? 1 : 0; });
    return before;
}

std::vector<steer::share_holder> peer_view::ranked_for(std::uint64_t key, std::size_t count, base::time_point now) const
{
    std::vector<std::pair<std::uint64_t, steer::share_holder>> ranked;
    for_each_live(now,
                  [&](const peer& other)
                  {
                      const auto& status = other.status;
                      if (!status.leaving)
                      {
                          ranked.emplace_back(
                              base::mix(base::hash_text(status.name), key),
                              steer::share_holder{.host = status.name, .process_started_us = status.started_us});
                      }
                  });
    std::sort(ranked.begin(), ranked.end());
    std::vector<steer::share_holder> first;
    for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i)
    {
        first.push_back(std::move(ranked[i].second));
    }
    return first;
}

std::vector<base::endpoint> peer_view::addresses_of(const std::vector<steer::share_holder>& processes,
                                                    base::time_point now) const
{
    std::vector<base::endpoint> addresses;
    for (const auto& process : processes)
    {
        const auto known = peers_.find(process.host);
        if (known != peers_.end() && is_local(known->second) && is_live(known->second, now) &&
            known->second.status.started_us == process.process_started_us)
        {
            addresses.push_back(known->second.address);
        }
    }
    return addresses;
}

std::vector<member> peer_view::first_ranked(std::size_t count, base::time_point now) const
{
    std::vector<std::pair<decltype(rank_of(name_)), const peer*>> ranked;
    for (const auto& [name, other] : peers_)
    {
        if (is_local(other) && is_live(other, now) && !other.status.leaving)
        {
            ranked.emplace_back(rank_of(name), &other);
        }
    }
    if (!leaving_)
    {
        ranked.emplace_back(rank_of(name_), nullptr);
    }
    const auto kept = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end());
    std::vector<member> found;
    for (std::size_t i = 0; i < kept; ++i)
    {
        if (const auto* other = ranked[i].second; other != nullptr)
        {
            found.push_back({.name = other->status.name, .address = other->address, .data_centre = data_centre_});
        }
    }
    return found;
}

watch_view peer_view::view_of_watch(base::time_point now) const
{
    const auto own_rank = rank_of(name_);
    watch_view view;
    for_each_live(now,
                  [&](const peer& other)
                  {
                      const auto& status = other.status;
                      if (status.leaving)
                      {
                          return;
                      }
                      const bool is_before = rank_of(status.name) < own_rank;
                      ++view.others;
                      view.candidates_before += is_before && !status.store_lost ? 1 : 0;
                      view.is_watched = view.is_watched || status.follows_store;
                      view.is_watched_before = view.is_watched_before || (is_before && status.follows_store);
                  });
    return view;
}

bool peer_view::update_watch(bool is_served, base::time_point now)
{
    return takeover_.update(view_of_watch(now), is_served, now);
}

std::vector<member> peer_view::local_members() const
{
    std::vector<member> found;
    for (const auto& [name, other] : peers_)
    {
        if (is_local(other) || other.data_centre.empty())
        {
            found.push_back({.name = name, .address = other.address, .data_centre = other.data_centre});
        }
    }
    return found;
}

std::vector<member> peer_view::remote_members() const
{
    std::vector<member> found;
    for (const auto& [name, other] : peers_)
    {
        if (!is_local(other) && !other.data_centre.empty())
        {
            found.push_back({.name = name, .address = other.address, .data_centre = other.data_centre});
        }
    }
    return found;
}

template <typename Predicate>
std::optional<base::endpoint> peer_view::select_peer(Predicate is_wanted, base::random_source& random,
                                                     base::time_point now) const
{
    std::vector<base::endpoint> local;
    std::vector<base::endpoint> remote;
    for (const auto& [name, other] : peers_)
    {
        if (is_live(other, now) && is_wanted(other.status))
        {
            (is_local(other) ? local : remote).push_back(other.address);
        }
    }
    const auto& from = local.empty() ? remote : local;
    return from.empty() ? std::nullopt : std::optional{from[random.below(from.size())]};
}

std::optional<base::endpoint> peer_view::with_newer_configuration(std::uint64_t version, base::random_source& random,
                                                                  base::time_point now) const
{
    return select_peer([&](const host_status& status) { return status.configuration_version > version; }, random, now);
}

std::optional<base::endpoint> peer_view::with_newer_upstreams(const steer::store_revision& revision,
                                                              base::random_source& random, base::time_point now) const
{
    return select_peer([&](const host_status& status) { return status.upstreams_revision > revision; }, random, now);
}

std::optional<steer::store_revision> peer_view::upstreams_revision_of(std::uint64_t digest, base::time_point now) const
{
    std::optional<steer::store_revision> found;
    for_each_live(now,
                  [&](const peer& other)
                  {
                      if (other.status.upstreams_digest == digest)
                      {
                          found = std::max(found, std::optional{other.status.upstreams_revision});
                      }
                  });
    return found;
}

void peer_view::add_loads(load_totals& totals, base::time_point now) const
{
    for_each_live(now,
                  [&](const peer& other)
                  {
                      for (const auto& load : other.status.loads)
                      {
                          add_load(totals, load, now - other.last_seen);
                      }
                  });
}

std::uint32_t peer_view::reporting_count(base::time_point now) const
{
    std::uint32_t hosts = 0;
    for_each_live(now, [&](const peer& other) { hosts += other.status.with_loads ? 1 : 0; });
    return hosts;
}

void peer_view::add_demands(steer::demand_sum& sum, base::duration lifetime, base::time_point now) const
{
    for_each_live(now,
                  [&](const peer& other)
                  {
                      const auto age = now - other.last_seen;
                      if (!other.status.with_loads || age >= lifetime)
                      {
                          return;
                      }
                      sum.age = std::max(sum.age, age);
                      for (const auto& demand : other.status.demands)
                      {
                          sum.add(demand);
                      }
                  });
}

void peer_view::add_votes(vote_totals& votes, base::time_point now) const
{
    for_each_live(now,
                  [&](const peer& other)
                  {
                      for (const auto token : other.status.silent)
                      {
                          ++votes[token].silent;
                      }
                      for (const auto token : other.status.unreachable)
                      {
                          ++votes[token].unreachable;
                      }
                  });
}

bool peer_view::has_follower(base::time_point now) const
{
    return std::any_of(peers_.begin(), peers_.end(),
                       [&](const auto& row)
                       { return is_local(row.second) && is_live(row.second, now) && row.second.status.follows_store; });
}

std::size_t peer_view::live_count(base::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(),
                                                  [&](const auto& row)
                                                  { return is_local(row.second) && is_live(row.second, now); }));
}

} // namespace galenabay::peers
