// The peer functions of control_worker: heartbeats in both directions.

#include "control_worker.hpp"

#include <algorithm>
#include <galenabay/base/steady_clock.hpp>
#include <utility>

namespace galenabay::daemon
{

namespace
{

/// Limit of the flow records queued for a peer that cannot be reached. A batch that would exceed it replaces the queued
/// ones.
constexpr std::size_t max_queued_records_per_peer = 8192;

} // namespace

membership::host_report control_worker::own_report()
{
    ++self_.sequence;
    return self_;
}

std::vector<flow::flow_record> control_worker::take_records(const std::string& host)
{
    const auto found = peers_.find(host);
    return found == peers_.end() ? std::vector<flow::flow_record>{} : std::exchange(found->second.records, {});
}

const membership::host_report* control_worker::last_report(const std::string& name) const
{
    const auto found = last_reports_.find(name);
    return found == last_reports_.end() ? nullptr : &found->second;
}

std::vector<membership::host_report> control_worker::known_reports() const
{
    return members_.reports(base::steady_now());
}

bool control_worker::on_heartbeat(const membership::host_report& report, const std::vector<flow::flow_record>& records)
{
    if (partition_.has(report.data_centre))
    {
        return false;
    }
    handle_report(report, records);
    return true;
}

void control_worker::handle_report(const membership::host_report& report, const std::vector<flow::flow_record>& records)
{
    const auto now = base::steady_now();
    if (members_.on_report(report, now))
    {
        last_reports_[report.name] = report;
    }
    report_since_pause_ = true;
    if (!records.empty())
    {
        links_.control_to_decide.push(records_event{records});
        links_.decide_wakeup.notify();
    }
    if (const auto found = peers_.find(report.name); found != peers_.end())
    {
        found->second.next_heartbeat = now + settings_.heartbeat_interval;
    }
    follower_.on_peer_reachability(report.name, report.platform_reachable, now);
    carry_out(follower_.on_peer_number(report.name, report.revision, now), now);
}

void control_worker::remove_unlisted_hosts(base::time_point now)
{
    const auto contacts = members_.contacts(now);
    const auto is_gone = [&](const std::string& name)
    {
        return std::none_of(contacts.begin(), contacts.end(),
                            [&](const membership::listed_host& row) { return row.name == name; });
    };
    std::erase_if(last_reports_, [&](const auto& entry) { return is_gone(entry.first); });
    std::erase_if(peers_, [&](const auto& entry) { return is_gone(entry.first) && !entry.second.link->busy(); });
}

void control_worker::update_peers(base::time_point now)
{
    for (const auto& row : members_.contacts(now))
    {
        auto& peer = peers_[row.name];
        if (peer.link.get() == nullptr || (peer.link->control() != row.control && !peer.link->busy()))
        {
            peer.link =
                kj::heap<peer_link>(io_->provider->getNetwork(), io_->provider->getTimer(), metrics_, row.control);
            peer.next_heartbeat = now;
        }
    }
}

bool control_worker::initiates_heartbeat(const std::string& name, base::time_point now) const
{
    // One exchange per pair and interval is enough: the host whose name sorts first initiates it. The other one does so
    // only when it has received no report for 1.5 intervals.
    return settings_.name < name || members_.report_age(name, now) > settings_.heartbeat_interval * 3 / 2;
}

void control_worker::send_heartbeat(const std::string& name, peer_entry& peer, base::time_point now)
{
    peer.next_heartbeat = now + settings_.heartbeat_interval;
    auto exchange = peer.link->exchange(own_report(), std::exchange(peer.records, {}))
                        .then(
                            [this, name](const heartbeat_answer& answer)
                            {
                                metrics_.add(metric::heartbeats_ok);
                                peers_[name].attempted = true;
                                if (answer.report.name == name)
                                {
                                    handle_report(answer.report, answer.records);
                                }
                            },
                            [this, name](kj::Exception&&)
                            {
                                metrics_.add(metric::heartbeats_failed);
                                peers_[name].attempted = true;
                            });
    tasks_->add(kj::mv(exchange));
}

void control_worker::send_heartbeats(base::time_point now)
{
    for (const auto& row : members_.contacts(now))
    {
        auto& peer = peers_[row.name];
        if (peer.link->busy() || partition_.has(row.data_centre))
        {
            continue;
        }
        if (now >= peer.next_heartbeat && initiates_heartbeat(row.name, now))
        {
            send_heartbeat(row.name, peer, now);
        }
    }
}

void control_worker::take_outgoing_records()
{
    for (outgoing_records batch; links_.decide_to_control.pop(batch);)
    {
        auto& waiting = peers_[batch.host].records;
        if (waiting.size() + batch.records.size() > max_queued_records_per_peer)
        {
            waiting.clear();
        }
        waiting.insert(waiting.end(), batch.records.begin(), batch.records.end());
    }
    std::erase_if(peers_, [](const auto& entry) { return entry.second.link.get() == nullptr; });
}

} // namespace galenabay::daemon
