// The part of control_duty that talks to peers: heartbeats in both directions.

#include "control_duty.hpp"

#include <algorithm>
#include <galenabay/base/steady_clock.hpp>
#include <utility>

namespace galenabay::daemon
{

namespace
{

/// Flow records kept for a peer that can't be reached; beyond that the older
/// ones are dropped.
constexpr std::size_t max_waiting_records = 8192;

} // namespace

membership::host_report control_duty::own_report()
{
    ++self_.sequence;
    return self_;
}

std::vector<flow::flow_record> control_duty::take_records(const std::string& host)
{
    const auto found = contacts_.find(host);
    return found == contacts_.end() ? std::vector<flow::flow_record>{} : std::exchange(found->second.records, {});
}

const membership::host_report* control_duty::last_report(const std::string& name) const
{
    const auto found = heard_.find(name);
    return found == heard_.end() ? nullptr : &found->second;
}

std::vector<membership::host_report> control_duty::known_reports() const
{
    return members_.reports(base::steady_now());
}

bool control_duty::on_heartbeat(const membership::host_report& report, const std::vector<flow::flow_record>& records)
{
    if (cuts_.has(report.data_centre))
    {
        return false;
    }
    hear(report, records);
    return true;
}

void control_duty::hear(const membership::host_report& report, const std::vector<flow::flow_record>& records)
{
    const auto now = base::steady_now();
    if (members_.on_report(report, now))
    {
        heard_[report.name] = report;
    }
    heard_since_pause_ = true;
    if (!records.empty())
    {
        links_.control_to_decide.push(records_event{records});
        links_.decide_waker.notify();
    }
    if (const auto found = contacts_.find(report.name); found != contacts_.end())
    {
        found->second.due = now + settings_.heartbeat_interval;
    }
    follower_.on_peer_reachability(report.name, report.platform_reachable, now);
    carry_out(follower_.on_peer_number(report.name, report.revision, now), now);
}

void control_duty::forget_gone_hosts(base::time_point now)
{
    const auto contacts = members_.contacts(now);
    const auto is_gone = [&](const std::string& name)
    {
        return std::none_of(contacts.begin(), contacts.end(),
                            [&](const membership::listed_host& row) { return row.name == name; });
    };
    std::erase_if(heard_, [&](const auto& entry) { return is_gone(entry.first); });
    std::erase_if(contacts_, [&](const auto& entry) { return is_gone(entry.first) && !entry.second.link->busy(); });
}

void control_duty::update_contacts(base::time_point now)
{
    for (const auto& row : members_.contacts(now))
    {
        auto& to = contacts_[row.name];
        if (to.link.get() == nullptr || (to.link->control() != row.control && !to.link->busy()))
        {
            to.link =
                kj::heap<peer_link>(io_->provider->getNetwork(), io_->provider->getTimer(), metrics_, row.control);
            to.due = now;
        }
    }
}

bool control_duty::initiates(const std::string& name, base::time_point now) const
{
    // One exchange per pair and interval is enough; the other side starts one
    // when it has not heard for longer than that.
    return settings_.name < name || members_.report_age(name, now) > settings_.heartbeat_interval * 3 / 2;
}

void control_duty::send_heartbeat(const std::string& name, contact& to, base::time_point now)
{
    to.due = now + settings_.heartbeat_interval;
    auto exchange = to.link->exchange(own_report(), std::exchange(to.records, {}))
                        .then(
                            [this, name](const heartbeat_answer& answer)
                            {
                                metrics_.add(metric::heartbeats_ok);
                                contacts_[name].tried = true;
                                if (answer.report.name == name)
                                {
                                    hear(answer.report, answer.records);
                                }
                            },
                            [this, name](kj::Exception&&)
                            {
                                metrics_.add(metric::heartbeats_failed);
                                contacts_[name].tried = true;
                            });
    tasks_->add(kj::mv(exchange));
}

void control_duty::send_heartbeats(base::time_point now)
{
    for (const auto& row : members_.contacts(now))
    {
        auto& to = contacts_[row.name];
        if (to.link->busy() || cuts_.has(row.data_centre))
        {
            continue;
        }
        if (now >= to.due && initiates(row.name, now))
        {
            send_heartbeat(row.name, to, now);
        }
    }
}

void control_duty::take_outgoing_records()
{
    for (outgoing_records batch; links_.decide_to_control.pop(batch);)
    {
        auto& waiting = contacts_[batch.host].records;
        if (waiting.size() + batch.records.size() > max_waiting_records)
        {
            waiting.clear();
        }
        waiting.insert(waiting.end(), batch.records.begin(), batch.records.end());
    }
    std::erase_if(contacts_, [](const auto& entry) { return entry.second.link.get() == nullptr; });
}

} // namespace galenabay::daemon
