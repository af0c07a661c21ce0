#include "dispatcher_state.hpp"

#include <galenabay/base/hash.hpp>

#include <algorithm>
#include <utility>

namespace galenabay::dispatch
{

void dispatcher::state::on_revision(const config::accepted_revision& revision, base::time_point now)
{
    detect_pause(now);
    for (const auto& settings : revision.set.services)
    {
        const bool is_new = !services_.contains(settings.id());
        service_state& service = services_[settings.id()];
        service.settings = settings;
        service.budget.set_percent(settings.requests.retry_budget_percent);
        const auto lineage = revision.lineage.find(settings.name);
        if (is_new && lineage != revision.lineage.end() && !lineage->second.empty())
        {
            // Other hosts may have used the previous state of the service until now.
            service.map = shard_map::make(lineage->second.front().upstreams, hosts_.data_centres());
        }
        refresh_service(service, now);
    }
    for (auto& [id, service] : services_)
    {
        const bool is_configured =
            std::any_of(revision.set.services.begin(), revision.set.services.end(),
                        [&, service_id = id](const auto& settings) { return settings.id() == service_id; });
        if (!is_configured)
        {
            service.settings.draining = true;
        }
    }
    adopted_ = true;
    update_witnesses(now);
}

void dispatcher::state::refresh_services(base::time_point now)
{
    for (auto& [id, service] : services_)
    {
        refresh_service(service, now);
    }
    update_witnesses(now);
}

void dispatcher::state::refresh_service(service_state& service, base::time_point now)
{
    replace_map(service, shard_map::make(service.settings.upstreams, hosts_.data_centres()), now);
    const shard* own = service.map.find(settings_.data_centre);
    const std::span<const config::upstream> members =
        own != nullptr ? std::span<const config::upstream>{own->upstreams} : std::span<const config::upstream>{};
    service.pool.adopt(service.settings, members, !adopted_);
    refresh_hosts(service, now);
}

void dispatcher::state::replace_map(service_state& service, shard_map next, base::time_point now)
{
    std::erase_if(service.former_maps, [now](const former_map& old) { return old.until <= now; });
    if (service.map == next)
    {
        return;
    }
    if (!service.map.shards().empty())
    {
        service.former_maps.push_back({std::move(service.map), now + settings_.retransmission_span});
    }
    service.map = std::move(next);
    reset_block_affinity(now);
}

void dispatcher::state::refresh_deciders(service_state& service, base::time_point now)
{
    const auto before = std::exchange(service.deciders, {});
    const std::uint64_t service_id = service.settings.id();
    for (const auto& name : hosts_.data_centres())
    {
        auto ranked = hosts_.ranked(name, base::mix(service_id, base::hash_text(name)));
        if (leaving_)
        {
            std::erase(ranked, settings_.self);
        }
        service.deciders[name] = std::move(ranked);
    }
    const auto has_same_first = [](const auto& a, const auto& b)
    {
        const bool is_empty = a.second.empty() || b.second.empty();
        return a.first == b.first && (is_empty ? a.second == b.second : a.second.front() == b.second.front());
    };
    const auto& after = service.deciders;
    if (!std::equal(before.begin(), before.end(), after.begin(), after.end(), has_same_first))
    {
        reset_block_affinity(now);
    }
}

void dispatcher::state::refresh_hosts(service_state& service, base::time_point now)
{
    refresh_deciders(service, now);
    const std::uint64_t service_id = service.settings.id();
    service.witnesses = service.deciders[settings_.data_centre];
    std::erase(service.witnesses, settings_.self);
    auto elsewhere =
        hosts_.ranked_elsewhere(settings_.data_centre, base::mix(service_id, base::hash_text(settings_.data_centre)));
    service.witnesses.insert(service.witnesses.end(), elsewhere.begin(), elsewhere.end());
    service.witnesses.resize(std::min(service.witnesses.size(), max_witnesses));
    const bool has_neighbours = service.deciders[settings_.data_centre].size() > max_witnesses;
    if (has_neighbours)
    {
        // With fewer neighbours, any host may have been a witness before a restart.
        elsewhere.resize(std::min(elsewhere.size(), max_witnesses));
    }
    service.remote_witnesses = std::move(elsewhere);
}

actions dispatcher::state::on_hosts(std::span<const membership::live_host> hosts, base::time_point now)
{
    detect_pause(now);
    hosts_.set_live(hosts, now);
    if (!hosts_.is_live(settings_.self))
    {
        deciding_since_.reset();
    }
    else if (!deciding_since_)
    {
        deciding_since_ = now;
    }
    refresh_services(now);
    for (auto& [key, open] : open_)
    {
        const bool awaits_witnesses = open.phase == request_phase::claiming || open.phase == request_phase::refusing;
        service_state* service = find_service(open.arrived.service);
        if (awaits_witnesses && service != nullptr)
        {
            open.own_claim.next_send = now;
        }
    }
    return take_actions();
}

void dispatcher::state::on_listed_hosts(std::span<const membership::listed_host> hosts, base::time_point now)
{
    detect_pause(now);
    hosts_.set_listed(hosts, now);
    refresh_services(now);
}

actions dispatcher::state::on_leave(base::time_point now)
{
    detect_pause(now);
    leaving_ = true;
    refresh_services(now);
    for (const auto& host : witnesses_)
    {
        replicate_claims(host, now);
    }
    std::vector<request_key> keys;
    for (const auto& [key, open] : open_)
    {
        if (open.phase == request_phase::queued || open.phase == request_phase::backing_off)
        {
            keys.push_back(key);
        }
    }
    for (const request_key key : keys)
    {
        hand_off(open_.at(key), now);
    }
    return take_actions();
}

void dispatcher::state::hand_off(open_request& open, base::time_point now)
{
    service_state& service = *find_service(open.arrived.service);
    leave_queue(service, open);
    const auto& next = service.deciders[settings_.data_centre];
    const bool may_pass = is_idempotent(open.arrived.method) && open.runs.empty() && !next.empty();
    if (!may_pass)
    {
        begin_refusal(service, open, refusal::host_leaving, now);
        return;
    }
    relay(open.arrived, next.front());
    relayed_while_leaving_.insert(open.arrived.key);
    --service.open;
    open_.erase(open.arrived.key);
}

} // namespace galenabay::dispatch
