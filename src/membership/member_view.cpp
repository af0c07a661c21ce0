#include <galenabay/membership/member_view.hpp>

#include <galenabay/base/invariant.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace galenabay::membership
{

namespace
{

live_host to_live(const host_report& report)
{
    return live_host{report.name, report.data_centre, base::hash_text(report.name), report.relay};
}

bool is_newer(const host_report& candidate, const host_report& known)
{
    return std::tie(candidate.incarnation, candidate.sequence) > std::tie(known.incarnation, known.sequence);
}

} // namespace

member_view::member_view(member_settings settings) : settings_{std::move(settings)} {}

bool member_view::on_report(const host_report& report, base::time_point now)
{
    if (report.name == settings_.self)
    {
        return false;
    }
    auto& peer = members_[report.name];
    if (peer.has_reported && !is_newer(report, peer.report))
    {
        return false;
    }
    peer.report = report;
    peer.last_report_at = now;
    peer.has_reported = true;
    return true;
}

void member_view::on_platform_list(std::span<const listed_host> hosts, base::time_point now)
{
    for (auto& [name, peer] : members_)
    {
        peer.listed = false;
    }
    for (const auto& row : hosts)
    {
        if (row.name != settings_.self)
        {
            auto& peer = members_[row.name];
            peer.listed = true;
            peer.row = row;
        }
    }
    std::erase_if(members_, [&](const auto& entry) { return is_expired(entry.second, now); });
}

bool member_view::on_tick(base::time_point now)
{
    GALENABAY_INVARIANT(!ticked_ || now >= last_tick_);
    const bool paused = ticked_ && now - last_tick_ > settings_.pause_limit;
    last_tick_ = now;
    ticked_ = true;
    if (paused)
    {
        for (auto& [name, peer] : members_)
        {
            peer.last_report_at = now - settings_.peer_timeout;
        }
    }
    return paused;
}

void member_view::set_self(const host_report& report)
{
    self_ = report;
}

bool member_view::is_live(const member& peer, base::time_point now) const
{
    return peer.has_reported && now - peer.last_report_at < settings_.peer_timeout;
}

bool member_view::is_expired(const member& peer, base::time_point now) const
{
    // If the last report of a peer is erased too early, an older one that arrives
    // late makes the peer live again.
    return !peer.listed && (!peer.has_reported || now - peer.last_report_at >= settings_.report_retention);
}

std::vector<live_host> member_view::deciding_hosts(base::time_point now) const
{
    std::vector<live_host> hosts;
    if (self_.state == host_state::ready)
    {
        hosts.push_back(to_live(self_));
    }
    for (const auto& [name, peer] : members_)
    {
        if (is_live(peer, now) && peer.report.state == host_state::ready)
        {
            hosts.push_back(to_live(peer.report));
        }
    }
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

std::vector<live_host> member_view::deciding_hosts(const std::string& data_centre, base::time_point now) const
{
    auto hosts = deciding_hosts(now);
    std::erase_if(hosts, [&](const live_host& host) { return host.data_centre != data_centre; });
    return hosts;
}

std::vector<listed_host> member_view::contacts(base::time_point now) const
{
    std::vector<listed_host> hosts;
    for (const auto& [name, peer] : members_)
    {
        if (is_live(peer, now))
        {
            hosts.push_back(listed_host{name, peer.report.data_centre, peer.report.control, peer.report.relay,
                                        peer.report.state == host_state::leaving});
        }
        else if (peer.listed)
        {
            hosts.push_back(peer.row);
        }
    }
    return hosts;
}

std::vector<host_report> member_view::reports(base::time_point now) const
{
    std::vector<host_report> all{self_};
    for (const auto& [name, peer] : members_)
    {
        if (is_live(peer, now))
        {
            all.push_back(peer.report);
        }
    }
    return all;
}

base::duration member_view::report_age(const std::string& name, base::time_point now) const
{
    const auto found = members_.find(name);
    if (found == members_.end() || !found->second.has_reported)
    {
        return base::duration::max();
    }
    return now - found->second.last_report_at;
}

} // namespace galenabay::membership
