#include "dispatch_torture.hpp"

namespace galenabay::torture
{

void world::on_host(std::size_t index, std::function<actions(dispatcher&)> callback)
{
    host_process& host = hosts_[index];
    if (!host.alive)
    {
        return;
    }
    if (host.frozen)
    {
        host.backlog.push_back([this, index, callback = std::move(callback)] { on_host(index, callback); });
        return;
    }
    perform(index, callback(*host.subject));
}

void world::tick(std::size_t index, std::uint64_t incarnation)
{
    host_process& host = hosts_[index];
    if (!host.alive || host.incarnation != incarnation)
    {
        return;
    }
    if (!host.frozen)
    {
        perform(index, host.subject->on_tick(now_));
        if (host.leaving && host.subject->open_requests() == 0)
        {
            stop_host(index);
            return;
        }
    }
    const bool is_busy = host.subject->open_requests() > 0;
    schedule(is_busy ? 10ms : 100ms, [this, index, incarnation] { tick(index, incarnation); });
}

void world::heartbeat(std::size_t index)
{
    const host_process& host = hosts_[index];
    if (host.alive && !host.frozen)
    {
        for (std::size_t peer = 0; peer < hosts_.size(); ++peer)
        {
            const bool is_ready = host.ready && !host.leaving;
            transmit(index, peer, [this, index, peer, is_ready] { receive_heartbeat(peer, index, is_ready); });
        }
        refresh_view(index);
    }
    schedule(heartbeat_interval, [this, index] { heartbeat(index); });
}

void world::receive_heartbeat(std::size_t index, std::size_t peer, bool is_ready)
{
    host_process& host = hosts_[index];
    if (!host.alive || host.frozen)
    {
        return;
    }
    if (is_ready)
    {
        host.last_heartbeats[peer] = now_;
    }
    else
    {
        host.last_heartbeats.erase(peer);
    }
}

void world::refresh_view(std::size_t index)
{
    host_process& host = hosts_[index];
    if (!host.alive || host.frozen)
    {
        return;
    }
    std::vector<membership::live_host> live;
    for (std::size_t peer = 0; peer < hosts_.size(); ++peer)
    {
        const auto last_heartbeat = host.last_heartbeats.find(peer);
        const bool is_self = peer == index && host.ready && !host.leaving;
        if (is_self || (peer != index && last_heartbeat != host.last_heartbeats.end() &&
                        now_ - last_heartbeat->second < peer_timeout))
        {
            const auto& other = hosts_[peer];
            live.push_back({other.name, other.data_centre, base::hash_text(other.name), {}});
        }
    }
    on_host(index, [this, live](dispatcher& subject) { return subject.on_hosts(live, now_); });
    trace_view(index, live);
}

void world::trace_view(std::size_t index, const std::vector<membership::live_host>& live)
{
    std::string names;
    for (const auto& host : live)
    {
        names += " " + host.name;
    }
    if (std::exchange(views_[index], names) != names)
    {
        trace(0, {hosts_[index].name, "sees", names});
    }
}

std::optional<std::size_t> world::find_host(const std::string& name) const
{
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        if (hosts_[i].name == name)
        {
            return i;
        }
    }
    return std::nullopt;
}

bool world::is_partitioned(std::size_t a, std::size_t b) const
{
    const auto& first = hosts_[a].data_centre;
    const auto& second = hosts_[b].data_centre;
    return first != second && (partitioned_.contains(first) || partitioned_.contains(second));
}

void world::transmit(std::size_t from, std::size_t to, const std::function<void()>& callback)
{
    const int copies = chance(duplication_probability_) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
    {
        if (is_partitioned(from, to) || (from != to && chance(loss_probability_)))
        {
            continue;
        }
        schedule(network_delay(), callback);
    }
}

void world::perform(std::size_t index, const actions& list)
{
    for (const auto& item : list)
    {
        std::visit([&](const auto& value) { apply(index, value); }, item);
    }
}

void world::apply(std::size_t index, const send_to_upstream& sent)
{
    const sender from{index, hosts_[index].incarnation};
    for (std::size_t u = 0; u < upstreams_.size(); ++u)
    {
        if (upstreams_[u].target.endpoint == sent.upstream && !chance(loss_probability_))
        {
            schedule(network_delay(), [this, from, u, sent] { receive_at_upstream(from, u, sent); });
        }
    }
}

void world::apply(std::size_t /*index*/, const cancel_at_upstream& cancel)
{
    cancelled_.insert({cancel.key, cancel.upstream});
}

void world::apply(std::size_t index, const deliver& reply)
{
    trace(reply.key, {hosts_[index].name, "delivers"});
    auto& tracked = requests_.at(reply.key);
    answer_content content;
    std::memcpy(&content, reply.bytes->data(), sizeof content);
    if (content.key != reply.key)
    {
        report_violation("each answer goes to its own request", reply.key);
    }
    if (!chance(loss_probability_))
    {
        counts_.answers += tracked.replied ? 0 : 1;
        if (!std::exchange(tracked.replied, true) && tracked.transfer != 0)
        {
            on_block_answer(tracked, content.upstream);
        }
    }
}

void world::apply(std::size_t index, const refuse& reply)
{
    trace(reply.key, {hosts_[index].name,
                      reply.known_not_run ? "refuses, not run:" : "refuses, outcome unknown:", name_of(reply.reason)});
    if (chance(loss_probability_))
    {
        return;
    }
    // A refusal takes effect when it reaches the caller: until then the caller
    // may retransmit the request and an upstream may run it.
    auto& tracked = requests_.at(reply.key);
    if (reply.known_not_run && tracked.runs > 0)
    {
        report_violation("a request refused with 5.03 never runs", reply.key);
    }
    counts_.refusals_not_run += !tracked.replied && reply.known_not_run ? 1 : 0;
    counts_.refusals_unknown += !tracked.replied && !reply.known_not_run ? 1 : 0;
    tracked.refused_as_not_run = tracked.refused_as_not_run || (reply.known_not_run && !tracked.replied);
    tracked.replied = true;
}

void world::apply(std::size_t index, const relay_request& relayed)
{
    trace(relayed.key, {hosts_[index].name, "relays to", relayed.host});
    if (const auto to = find_host(relayed.host))
    {
        transmit(index, *to, [this, to, key = relayed.key] { receive_at_host(*to, key, true); });
    }
}

void world::apply(std::size_t index, const send_intent& intent)
{
    trace(intent.key,
          {hosts_[index].name, intent.upstream == intent_to_refuse ? "asks to refuse:" : "asks to run:", intent.host});
    if (const auto to = find_host(intent.host))
    {
        transmit(index, *to,
                 [this, to, intent, from = hosts_[index].name]
                 {
                     on_host(*to, [this, intent, from](dispatcher& subject)
                             { return subject.on_intent(from, intent.key, intent.upstream, intent.sequence, now_); });
                 });
    }
}

void world::apply(std::size_t index, const send_intent_reply& reply)
{
    trace(reply.key, {hosts_[index].name, reply.accepted ? "accepts for" : "declines for", reply.host});
    if (const auto to = find_host(reply.host))
    {
        transmit(index, *to,
                 [this, to, reply, from = hosts_[index].name]
                 {
                     on_host(*to,
                             [this, reply, from](dispatcher& subject) {
                                 return subject.on_intent_reply(from, reply.key, reply.sequence, reply.accepted, now_);
                             });
                 });
    }
}

} // namespace galenabay::torture
