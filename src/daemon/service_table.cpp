#include "service_table.hpp"

#include <galenabay/base/log.hpp>

#include <algorithm>
#include <utility>

namespace galenabay::daemon
{

namespace
{

/// Delay before a retired socket is closed: the other threads may still hold packets for it.
constexpr base::duration close_delay{2'000'000};

} // namespace

service_table::service_table(const config::host_settings& settings, channels& links)
    : settings_{settings}, links_{links}
{
}

base::endpoint service_table::local_address(const base::endpoint& service) const
{
    return settings_.bind_service_addresses ? service : settings_.address.with_port(service.port());
}

void service_table::open(const config::service& service)
{
    const auto local = local_address(service.address);
    auto opened = net::udp_socket::bind(local);
    if (!opened)
    {
        base::log_event{base::log_level::error, "service_not_served"}
            .with("service", service.name)
            .with(opened.error());
        return;
    }
    const int descriptor = opened.value().descriptor();
    const service_entry entry{service.id(), service.kind, descriptor};
    sockets_.emplace(service.address, open_socket{std::move(opened).value(), entry});
    links_.decide_to_receive.push(socket_change{descriptor, service.address, true});
    base::log_event{base::log_level::info, "service_opened"}
        .with("service", service.name)
        .with("address", service.address.to_string())
        .with("local", local.to_string());
}

void service_table::retire_removed(const config::accepted_revision& revision, base::time_point now)
{
    for (auto it = sockets_.begin(); it != sockets_.end();)
    {
        const auto& services = revision.set.services;
        const bool wanted = std::any_of(services.begin(), services.end(),
                                        [&](const config::service& service) { return service.address == it->first; });
        if (wanted)
        {
            ++it;
            continue;
        }
        links_.decide_to_receive.push(socket_change{it->second.entry.socket, it->first, false});
        retired_.push_back({std::move(it->second.socket), now + close_delay});
        it = sockets_.erase(it);
    }
}

void service_table::on_revision(const config::accepted_revision& revision, base::time_point now)
{
    retire_removed(revision, now);
    for (const auto& service : revision.set.services)
    {
        if (const auto found = sockets_.find(service.address); found != sockets_.end())
        {
            found->second.entry.id = service.id();
            found->second.entry.kind = service.kind;
        }
        else
        {
            open(service);
        }
    }
    links_.receive_wakeup.notify();
}

void service_table::on_tick(base::time_point now)
{
    std::erase_if(retired_, [&](const retired_socket& old) { return now >= old.close_at; });
}

const service_entry* service_table::find(const base::endpoint& service) const
{
    const auto found = sockets_.find(service);
    return found == sockets_.end() ? nullptr : &found->second.entry;
}

} // namespace galenabay::daemon
