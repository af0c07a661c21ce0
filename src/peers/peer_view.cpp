#include <galenabay/peers/peer_view.hpp>

#include <galenabay/base/hash.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace galenabay::peers
{

namespace
{

/// Sort key of the order in which hosts take over the watch of the store.
auto rank_of(const std::string& name)
{
    return std::pair{base::hash_text(name), name};
}

} // namespace

peer_view::peer_view(std::string name, std::string data_centre, peer_options options)
    : name_{std::move(name)}, data_centre_{std::move(data_centre)}, options_{options}
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
    known = {.address = from, .status = status, .last_seen = now, .has_status = true};
    return true;
}

void peer_view::on_listed(const std::string& name, const base::endpoint& address, base::time_point now)
{
    if (name == name_)
    {
        return;
    }
    const auto [known, is_new] = peers_.try_emplace(name);
    const bool has_moved = known->second.address != address;
    if (is_new || (has_moved && !is_live(known->second, now)))
    {
        known->second.address = address;
        known->second.last_seen = now;
    }
}

std::vector<std::string> peer_view::expire(base::time_point now)
{
    const bool has_majority = live_count(now) * 2 > peers_.size();
    std::vector<std::string> lost;
    std::erase_if(peers_,
                  [&](const auto& row)
                  {
                      const auto& [name, other] = row;
                      if (now - other.last_seen < options_.address_retention)
                      {
                          return false;
                      }
                      lost.push_back(name);
                      return true;
                  });
    return has_majority && ranks_first(now) ? lost : std::vector<std::string>{};
}

bool peer_view::is_live(const peer& other, base::time_point now) const
{
    return other.has_status && now - other.last_seen < options_.status_timeout;
}

template <typename Visitor> void peer_view::for_each_live(base::time_point now, Visitor visit) const
{
    for (const auto& [name, other] : peers_)
    {
        if (is_live(other, now))
        {
            visit(other);
        }
    }
}

template <typename Predicate>
std::size_t peer_view::count_ranked_before(Predicate is_counted, base::time_point now) const
{
    const auto own_rank = rank_of(name_);
    const auto before = std::count_if(peers_.begin(), peers_.end(),
                                      [&](const auto& row)
                                      {
                                          const auto& [name, other] = row;
                                          return is_live(other, now) && other.status.data_centre == data_centre_ &&
                                                 !other.status.leaving && rank_of(name) < own_rank &&
                                                 is_counted(other.status);
                                      });
    return static_cast<std::size_t>(before);
}

bool peer_view::ranks_first(base::time_point now) const
{
    const auto own_rank = rank_of(name_);
    return std::none_of(peers_.begin(), peers_.end(),
                        [&](const auto& row) { return is_live(row.second, now) && rank_of(row.first) < own_rank; });
}

bool peer_view::update_following(base::time_point now)
{
    started_ = started_.value_or(now);
    const auto followers = count_ranked_before([](const host_status& status) { return status.follows_store; }, now);
    if (followers >= options_.followers_per_data_centre)
    {
        too_few_followers_since_.reset();
        follows_ = false;
        return follows_;
    }
    too_few_followers_since_ = too_few_followers_since_.value_or(now);
    const auto candidates = count_ranked_before([](const host_status&) { return true; }, now);
    const auto awaited = std::min(candidates, options_.max_awaited_hosts);
    const auto delay = options_.takeover_delay * static_cast<std::int64_t>(awaited);
    const auto takeover_at = std::max(*too_few_followers_since_, *started_ + options_.startup_wait) + delay;
    follows_ = follows_ || now >= takeover_at;
    return follows_;
}

std::vector<base::endpoint> peer_view::addresses(bool own_data_centre) const
{
    std::vector<base::endpoint> found;
    for (const auto& [name, other] : peers_)
    {
        const bool own = other.status.data_centre == data_centre_;
        if (!other.has_status || own == own_data_centre)
        {
            found.push_back(other.address);
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
            (other.status.data_centre == data_centre_ ? local : remote).push_back(other.address);
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

std::optional<base::endpoint> peer_view::with_newer_upstreams(std::uint64_t revision, base::random_source& random,
                                                              base::time_point now) const
{
    return select_peer([&](const host_status& status) { return status.upstreams_revision > revision; }, random, now);
}

std::unordered_map<steer::upstream_token, upstream_load> peer_view::total_loads(base::time_point now) const
{
    std::unordered_map<steer::upstream_token, upstream_load> totals;
    for_each_live(now,
                  [&](const peer& other)
                  {
                      const auto status_age =
                          std::chrono::duration_cast<std::chrono::milliseconds>(now - other.last_seen);
                      for (const auto& load : other.status.loads)
                      {
                          const auto answered_ago = load.answered_ago + status_age;
                          const auto [row, is_first] = totals.try_emplace(load.token);
                          auto& total = row->second;
                          total.token = load.token;
                          total.answered_ago = is_first ? answered_ago : std::min(total.answered_ago, answered_ago);
                          total.flows += load.flows;
                          total.open_requests += load.open_requests;
                      }
                  });
    return totals;
}

std::unordered_map<steer::upstream_token, peer_view::upstream_votes> peer_view::votes(base::time_point now) const
{
    std::unordered_map<steer::upstream_token, upstream_votes> votes;
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
    return votes;
}

std::size_t peer_view::live_count(base::time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [&](const auto& row) { return is_live(row.second, now); }));
}

} // namespace galenabay::peers
