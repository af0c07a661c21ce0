#include "flow_torture.hpp"

#include <algorithm>
#include <array>

namespace galenabay::bench
{

void torture_run::inject_event()
{
    constexpr std::array<event, 10> kinds{
        event::change,       event::change,     event::change,        event::two_changes,   event::kill_host,
        event::replace_host, event::pause_host, event::fail_upstream, event::flap_upstream, event::move_address};
    const auto kind = kinds[random_.below(kinds.size())];
    if (((options_.event_kinds >> static_cast<unsigned>(kind)) & 1) == 0)
    {
        return;
    }
    switch (kind)
    {
    case event::change:
        return change();
    case event::two_changes:
        change();
        return change();
    case event::kill_host:
        return kill_host();
    case event::replace_host:
        return replace_host();
    case event::pause_host:
        return pause_host();
    case event::fail_upstream:
        return fail_upstream();
    case event::flap_upstream:
        return flap_upstream();
    case event::move_address:
        return move_address();
    }
}

void torture_run::change()
{
    ++total_.changes;
    auto& service = revisions_.draft()[random_.below(4) == 0 ? 1 : 0];
    auto& upstreams = service.upstreams;
    auto& chosen = upstreams[random_.below(upstreams.size())];
    switch (random_.below(6))
    {
    case 0:
    case 1:
        upstreams.push_back(make_upstream(1000 + ++last_upstream_));
        break;
    case 2:
        chosen.weight = 50 + static_cast<std::uint32_t>(random_.below(4)) * 50;
        break;
    case 3:
    case 4:
        toggle_draining(service, chosen);
        break;
    default:
        remove_draining_upstream(service);
        break;
    }
    record_owners();
    publish();
    trace("change: revision %d, service %s", static_cast<int>(revisions_.current().number), service.name.c_str());
    for (const auto& one : options_.trace ? upstreams : std::vector<config::upstream>{})
    {
        trace("  %s %s weight %d", one.endpoint.to_string().c_str(), one.draining ? "draining" : "open",
              static_cast<int>(one.weight));
    }
}

void torture_run::move_address()
{
    ++total_.changes;
    auto& services = revisions_.draft();
    const auto moving = random_.below(2);
    const auto old_address = services[moving].address;
    services[moving].address = old_address.with_port(static_cast<std::uint16_t>(6000 + ++last_port_));
    if (random_.below(2) == 0)
    {
        services[1 - moving].address = old_address;
    }
    // New flows use the address only when the change is in force everywhere.
    addresses_in_force_at_ = fleet_.now() + max_adoption_delay + 2 * second;
    publish();
    trace("addresses: %s %s", services[0].address.to_string().c_str(), services[1].address.to_string().c_str());
}

void torture_run::toggle_draining(const config::service& service, config::upstream& chosen)
{
    const auto accepting = std::count_if(service.upstreams.begin(), service.upstreams.end(),
                                         [](const auto& one) { return !one.draining; });
    if (chosen.draining)
    {
        chosen.draining = false;
        draining_since_.erase(chosen.endpoint);
    }
    else if (accepting > 2)
    {
        chosen.draining = true;
    }
}

void torture_run::remove_draining_upstream(config::service& service)
{
    const auto drained =
        std::find_if(service.upstreams.begin(), service.upstreams.end(), [](const auto& one) { return one.draining; });
    if (drained != service.upstreams.end())
    {
        service.upstreams.erase(drained);
    }
}

void torture_run::record_listed_upstreams()
{
    listed_upstreams_.clear();
    const auto add = [&](const std::vector<config::upstream>& upstreams)
    {
        for (const auto& one : upstreams)
        {
            listed_upstreams_.insert(one.endpoint);
        }
    };
    for (const auto& service : revisions_.current().set.services)
    {
        add(service.upstreams);
    }
    for (const auto& [name, generations] : revisions_.current().lineage)
    {
        for (const auto& generation : generations)
        {
            add(generation.upstreams);
        }
    }
}

void torture_run::publish()
{
    fleet_.publish(revisions_.accept(), max_adoption_delay);
    record_listed_upstreams();
    for (const auto& service : revisions_.draft())
    {
        for (const auto& upstream : service.upstreams)
        {
            if (upstream.draining)
            {
                draining_since_.try_emplace(upstream.endpoint, revisions_.current().number);
            }
        }
    }
}

std::size_t torture_run::running_hosts() const
{
    std::size_t up = 0;
    for (std::size_t i = 0; i < fleet_.size(); ++i)
    {
        up += fleet_.is_up(i) ? 1 : 0;
    }
    return up;
}

void torture_run::kill_host()
{
    const auto host = random_.below(fleet_.size());
    if (fleet_.is_up(host) && running_hosts() > 2)
    {
        ++total_.host_faults;
        trace("kill host %d", static_cast<int>(host));
        fleet_.kill(host);
        restarts_.emplace(fleet_.now() + base::duration{static_cast<std::int64_t>(random_.below(20'000'000))}, host);
    }
}

void torture_run::replace_host()
{
    const auto host = random_.below(fleet_.size());
    if (fleet_.is_up(host) && running_hosts() > 2 && leaving_hosts_.insert(host).second)
    {
        ++total_.host_faults;
        trace("leave host %d", static_cast<int>(host));
        fleet_.leave(host);
        restarts_.emplace(fleet_.now() + 6 * second, host);
    }
}

void torture_run::pause_host()
{
    const auto host = random_.below(fleet_.size());
    if (fleet_.is_up(host))
    {
        ++total_.host_faults;
        trace("pause host %d", static_cast<int>(host));
        fleet_.pause(host, base::duration{static_cast<std::int64_t>(2'500'000 + random_.below(40'000'000))});
    }
}

void torture_run::fail_upstream()
{
    const auto& service = revisions_.draft()[0];
    const auto& chosen = service.upstreams[random_.below(service.upstreams.size())];
    if (failed_upstreams_.empty())
    {
        ++total_.upstream_faults;
        failed_upstreams_.insert(chosen.endpoint);
        ever_failed_upstreams_.insert(chosen.endpoint);
        fleet_.report_health(config::id_of(service, chosen), false, 2 * second);
    }
}

void torture_run::flap_upstream()
{
    ++total_.upstream_faults;
    const auto& service = revisions_.draft()[0];
    const auto& chosen = service.upstreams[random_.below(service.upstreams.size())];
    const auto id = config::id_of(service, chosen);
    fleet_.report_health(id, false, base::duration{100'000});
    fleet_.advance(base::duration{400'000});
    fleet_.report_health(id, failed_upstreams_.count(chosen.endpoint) == 0, base::duration{100'000});
}

void torture_run::restart_due_hosts()
{
    while (!restarts_.empty() && restarts_.begin()->first <= fleet_.now())
    {
        leaving_hosts_.erase(restarts_.begin()->second);
        trace("start host %d", static_cast<int>(restarts_.begin()->second));
        fleet_.start(restarts_.begin()->second);
        restarts_.erase(restarts_.begin());
    }
}

} // namespace galenabay::bench
