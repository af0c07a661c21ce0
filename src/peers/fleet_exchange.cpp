#include <galenabay/peers/fleet_exchange.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

// Reception of messages, and the view that results from them.
namespace galenabay::peers
{

namespace
{

void add_votes(vote_totals& totals, const std::vector<upstream_votes>& votes)
{
    for (const auto& vote : votes)
    {
        auto& total = totals[vote.token];
        total.silent += vote.silent;
        total.unreachable += vote.unreachable;
    }
}

/// Returns the evacuations that a message contains. A set is ordered by its revision, so an outdated
/// message does no harm.
std::optional<steer::evacuation_set> evacuations_in(const message& received)
{
    return std::visit(
        [](const auto& content) -> std::optional<steer::evacuation_set>
        {
            if constexpr (requires { content.evacuations; })
            {
                return content.evacuations;
            }
            return std::nullopt;
        },
        received);
}

/// Subtracts what this host reported, which the sum contains; a report may be missing there
/// for the time that it takes to arrive.
void subtract_load(load_totals& totals, const upstream_load& own)
{
    if (const auto row = totals.find(own.token); row != totals.end())
    {
        row->second.flows -= std::min(row->second.flows, own.flows);
        row->second.open_requests -= std::min(row->second.open_requests, own.open_requests);
    }
}

} // namespace

fleet_exchange::fleet_exchange(identity self, std::vector<base::endpoint> seeds, exchange_options options,
                               std::uint64_t seed)
    : self_{std::move(self)}, seeds_{std::move(seeds)}, options_{options}, random_{seed}, peers_{self_.name,
                                                                                                 self_.data_centre,
                                                                                                 options_.peers}
{
    std::erase(seeds_, self_.address);
}

void fleet_exchange::on_listed(const member& listed, base::time_point now)
{
    learn({listed}, true, now);
}

void fleet_exchange::learn(const std::vector<member>& listed, bool in_store, base::time_point now)
{
    for (const auto& one : listed)
    {
        if (peers_.on_listed(one, in_store, now) && one.data_centre == self_.data_centre)
        {
            // The new host gets a status, and answers with its own.
            next_status_ = now;
            next_status_to_all_ = now;
        }
    }
}

std::vector<steer::share_holder> fleet_exchange::holders_for(std::uint64_t key, std::size_t count,
                                                             base::time_point now) const
{
    std::vector<steer::share_holder> holders{{.host = self_.name, .process_started_us = self_.started_us}};
    std::size_t bytes = self_.name.size();
    for (auto& other : peers_.ranked_for(key, count, now))
    {
        bytes += other.host.size();
        if (holders.size() >= count || bytes > options_.max_holder_bytes)
        {
            break;
        }
        holders.push_back(std::move(other));
    }
    return holders;
}

void fleet_exchange::on_pause(base::time_point now)
{
    summaries_.clear();
    digests_ = {};
    quarantine_until_ = now + options_.pause_quarantine;
}

fleet_exchange::effects fleet_exchange::on_message(const message& received, const base::endpoint& from,
                                                   base::time_point now)
{
    auto caused = on_content(received, from, now);
    caused.evacuations = evacuations_in(received);
    if (caused.evacuations && evacuations_ && caused.evacuations->revision > evacuations_->revision)
    {
        expedite(now);
    }
    return caused;
}

fleet_exchange::effects fleet_exchange::on_content(const message& received, const base::endpoint& from,
                                                   base::time_point now)
{
    if (const auto* status = std::get_if<host_status>(&received); status != nullptr)
    {
        return on_status(*status, from, now);
    }
    if (const auto* changes = std::get_if<upstream_changes>(&received); changes != nullptr)
    {
        return on_changes_received(*changes);
    }
    if (const auto* summary = std::get_if<load_summary>(&received); summary != nullptr)
    {
        return on_summary(*summary, now);
    }
    if (const auto* digest = std::get_if<load_digest>(&received); digest != nullptr)
    {
        return on_digest(*digest, now);
    }
    if (const auto* shares = std::get_if<steer::warm_up_shares>(&received); shares != nullptr)
    {
        return {.messages = {}, .view_changed = false, .changes = {}, .evacuations = {}, .shares = *shares};
    }
    if (const auto* listed = std::get_if<member_list>(&received); listed != nullptr)
    {
        learn(listed->members, false, now);
    }
    return {};
}

fleet_exchange::effects fleet_exchange::on_status(const host_status& status, const base::endpoint& from,
                                                  base::time_point now)
{
    const auto* known = peers_.status_of(status.name);
    const bool has_new_votes =
        status.data_centre == self_.data_centre &&
        (known == nullptr ? !(status.silent.empty() && status.unreachable.empty())
                          : known->silent != status.silent || known->unreachable != status.unreachable);
    if (!peers_.on_status(status, from, now))
    {
        return {};
    }
    effects caused{.messages = {}, .view_changed = true, .changes = {}};
    if (status.joining)
    {
        caused.messages = answer_joining(status.data_centre, from);
    }
    if (has_new_votes)
    {
        expedite(now);
    }
    return caused;
}

std::vector<outgoing_message> fleet_exchange::answer_joining(const std::string& data_centre,
                                                             const base::endpoint& from) const
{
    constexpr std::size_t members_of_other_data_centres = 2;
    auto known = peers_.local_members();
    const auto remote = peers_.remote_members();
    known.insert(known.end(), remote.begin(), remote.end());
    known.push_back({.name = self_.name, .address = self_.address, .data_centre = self_.data_centre});
    std::map<std::string, std::size_t> counts;
    std::erase_if(known,
                  [&](const member& one)
                  {
                      return one.address == from || (one.data_centre != data_centre &&
                                                     ++counts[one.data_centre] > members_of_other_data_centres);
                  });
    std::vector<outgoing_message> answers;
    for (std::size_t begin = 0; begin < known.size(); begin += options_.max_members)
    {
        const auto end = std::min(begin + options_.max_members, known.size());
        answers.push_back({.content = member_list{.members = {known.begin() + static_cast<std::ptrdiff_t>(begin),
                                                              known.begin() + static_cast<std::ptrdiff_t>(end)}},
                           .to = {from}});
    }
    return answers;
}

bool fleet_exchange::is_live(const known_collector& collector, base::time_point now) const
{
    return now - collector.last_seen < options_.report_lifetime;
}

std::uint32_t fleet_exchange::hosts_of(const reported_sums& sums, base::time_point now) const
{
    std::uint32_t hosts = 0;
    for (const auto& [name, collector] : sums.collectors)
    {
        hosts = std::max(hosts, is_live(collector, now) ? collector.stamp.hosts : 0);
    }
    return hosts;
}

fleet_exchange::known_collector* fleet_exchange::accept(reported_sums& sums, const collector_stamp& stamp,
                                                        base::time_point now) const
{
    std::erase_if(sums.collectors,
                  [&](const auto& row) { return now - row.second.last_seen >= options_.peers.address_retention; });
    const auto [row, is_new] = sums.collectors.try_emplace(stamp.sender.name);
    auto& known = row->second;
    const auto order = [](const collector_stamp& value) { return std::tuple{value.started_us, value.sequence}; };
    const bool is_restart = stamp.started_us != known.stamp.started_us && !is_live(known, now);
    if (!is_new && !is_restart && order(stamp) <= order(known.stamp))
    {
        return nullptr;
    }
    known.stamp = stamp;
    known.last_seen = now;
    return std::uint64_t{stamp.hosts} * 2 >= hosts_of(sums, now) ? &known : nullptr;
}

bool fleet_exchange::apply(reported_sums& sums, const load_page& page, const std::vector<upstream_votes>& votes,
                           base::time_point now)
{
    sums.loads.apply(page, now);
    const bool changed = sums.votes != votes;
    sums.votes = votes;
    sums.votes_at = now;
    return changed;
}

fleet_exchange::effects fleet_exchange::on_summary(const load_summary& summary, base::time_point now)
{
    const auto& sender = summary.collector.sender;
    if (sender.data_centre == self_.data_centre || sender.data_centre.empty())
    {
        return {};
    }
    if (!collects_)
    {
        return relay(summary, now);
    }
    auto& sums = summaries_[sender.data_centre];
    auto* known = accept(sums, summary.collector, now);
    if (known == nullptr)
    {
        return {};
    }
    known->follows_store = summary.follows_store;
    known->configuration_version = summary.configuration_version;
    known->upstreams_revision = summary.upstreams_revision;
    sums.demands = summary.demands;
    sums.demands_at = now;
    if (apply(sums, summary.page, summary.votes, now))
    {
        expedite(now);
    }
    return {.messages = {}, .view_changed = true, .changes = {}};
}

fleet_exchange::effects fleet_exchange::relay(const load_summary& summary, base::time_point now) const
{
    const auto collectors = peers_.first_ranked(1, now);
    if (summary.relayed || collectors.empty())
    {
        return {};
    }
    auto relayed = summary;
    relayed.relayed = true;
    return {.messages = {{.content = std::move(relayed), .to = {collectors.front().address}}},
            .view_changed = false,
            .changes = {}};
}

fleet_exchange::effects fleet_exchange::on_digest(const load_digest& digest, base::time_point now)
{
    const auto& sender = digest.collector.sender;
    if (sender.data_centre != self_.data_centre || sender.name == self_.name)
    {
        return {};
    }
    learn(digest.members, false, now);
    if (accept(digests_, digest.collector, now) == nullptr)
    {
        return {};
    }
    apply(digests_, digest.page, digest.remote_votes, now);
    digests_.demands = digest.local_demands;
    digests_.remote_demands = digest.remote_demands;
    digests_.demands_at = now;
    digest_remote_hosts_ = digest.remote_hosts;
    return {.messages = {}, .view_changed = true, .changes = {}};
}

fleet_exchange::effects fleet_exchange::on_changes_received(const upstream_changes& changes)
{
    effects caused{.messages = {}, .view_changed = true, .changes = changes};
    if (collects_ && changes.data_centre != self_.data_centre)
    {
        // Another data centre sends changes only while no host of this one reads the store.
        auto relayed = changes;
        relayed.data_centre = self_.data_centre;
        std::vector<base::endpoint> to;
        for (const auto& other : peers_.local_members())
        {
            to.push_back(other.address);
        }
        caused.messages.push_back({.content = std::move(relayed), .to = std::move(to)});
    }
    return caused;
}

template <typename Predicate>
std::optional<base::endpoint> fleet_exchange::select_collector(Predicate is_wanted, base::time_point now)
{
    std::vector<base::endpoint> found;
    for (const auto& [data_centre, sums] : summaries_)
    {
        for (const auto& [name, collector] : sums.collectors)
        {
            if (is_live(collector, now) && is_wanted(collector))
            {
                found.push_back(collector.stamp.sender.address);
            }
        }
    }
    return found.empty() ? std::nullopt : std::optional{found[random_.below(found.size())]};
}

std::optional<base::endpoint> fleet_exchange::with_newer_configuration(std::uint64_t version, base::time_point now)
{
    const auto local = peers_.with_newer_configuration(version, random_, now);
    return local
               ? local
               : select_collector([&](const known_collector& one) { return one.configuration_version > version; }, now);
}

std::optional<base::endpoint> fleet_exchange::with_newer_upstreams(const steer::store_revision& revision,
                                                                   base::time_point now)
{
    const auto local = peers_.with_newer_upstreams(revision, random_, now);
    return local ? local
                 : select_collector([&](const known_collector& one) { return one.upstreams_revision > revision; }, now);
}

bool fleet_exchange::relies_on_digests(base::time_point now) const
{
    return !collects_ || (now - collects_since_ < options_.handover_time && hosts_of(digests_, now) > 0);
}

std::uint32_t fleet_exchange::remote_hosts(base::time_point now) const
{
    if (relies_on_digests(now))
    {
        return hosts_of(digests_, now) > 0 ? digest_remote_hosts_ : 0;
    }
    std::uint32_t hosts = 0;
    for (const auto& [data_centre, sums] : summaries_)
    {
        hosts += hosts_of(sums, now);
    }
    return hosts;
}

std::size_t fleet_exchange::live_count(base::time_point now) const
{
    return peers_.live_count(now) + remote_hosts(now);
}

std::uint32_t fleet_exchange::covered_hosts(base::time_point now) const
{
    if (relies_on_digests(now))
    {
        return hosts_of(digests_, now) > 0 ? hosts_of(digests_, now) + digest_remote_hosts_ : 0;
    }
    return peers_.reporting_count(now) + remote_hosts(now);
}

load_totals fleet_exchange::remote_loads(base::time_point now) const
{
    load_totals totals;
    if (!relies_on_digests(now))
    {
        peers_.add_loads(totals, now);
        for (const auto& [data_centre, sums] : summaries_)
        {
            sums.loads.add_to(totals, now, options_.load_lifetime);
        }
        return totals;
    }
    digests_.loads.add_to(totals, now, options_.load_lifetime);
    for (const auto& own : reported_loads_)
    {
        subtract_load(totals, own);
    }
    return totals;
}

vote_totals fleet_exchange::remote_votes(base::time_point now) const
{
    vote_totals totals;
    for (const auto& [data_centre, sums] : summaries_)
    {
        if (now - sums.votes_at < options_.report_lifetime)
        {
            add_votes(totals, sums.votes);
        }
    }
    return totals;
}

vote_totals fleet_exchange::votes(base::time_point now) const
{
    vote_totals totals;
    if (!relies_on_digests(now))
    {
        totals = remote_votes(now);
    }
    else if (now - digests_.votes_at < options_.report_lifetime)
    {
        add_votes(totals, digests_.votes);
    }
    peers_.add_votes(totals, now);
    return totals;
}

} // namespace galenabay::peers
