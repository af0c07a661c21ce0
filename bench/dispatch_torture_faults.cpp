#include "dispatch_torture.hpp"

namespace galenabay::torture
{

void world::schedule_faults()
{
    const std::uint64_t kinds = random_();
    for (base::duration at = warm_up; at < warm_up + load_time; at += random_duration(500ms, 3s))
    {
        schedule(at, [this, kinds] { inject_fault(kinds); });
    }
    schedule(warm_up + load_time, [this] { clear_faults(); });
}

void world::inject_fault(std::uint64_t kinds)
{
    const std::uint64_t kind = random_.below(7);
    const std::size_t host = random_.below(hosts_.size());
    if ((kinds >> kind & 1U) == 0)
    {
        return;
    }
    switch (kind)
    {
    case 0:
        kill(host);
        return;
    case 1:
        freeze(host);
        return;
    case 2:
        partition_data_centre(hosts_[host].data_centre);
        return;
    case 3:
        drain(host);
        return;
    case 4:
        shedding_upstream_ = random_.below(upstreams_.size() + 1);
        return;
    case 5:
        fail_upstream(random_.below(upstreams_.size()));
        return;
    default:
        distribute_second_revision();
        return;
    }
}

void world::kill(std::size_t index)
{
    if (!hosts_[index].alive || !may_lose_state() || !has_replica_host(index))
    {
        return;
    }
    ++counts_.kills;
    next_state_loss_ = now_ + retransmission_span;
    stop_host(index);
}

void world::stop_host(std::size_t index)
{
    trace(0, {hosts_[index].name, "stops"});
    hosts_[index].alive = false;
    hosts_[index].ready = false;
    hosts_[index].backlog.clear();
    schedule(random_duration(50ms, 6s), [this, index] { start_host(index); });
}

void world::freeze(std::size_t index)
{
    if (!hosts_[index].alive || hosts_[index].frozen)
    {
        return;
    }
    trace(0, {hosts_[index].name, "freezes"});
    ++counts_.freezes;
    hosts_[index].frozen = true;
    schedule(random_duration(50ms, 5s),
             [this, index, incarnation = hosts_[index].incarnation]
             {
                 if (hosts_[index].incarnation == incarnation)
                 {
                     thaw(index);
                 }
             });
}

void world::thaw(std::size_t index)
{
    host_process& host = hosts_[index];
    host.frozen = false;
    trace(0, {host.name, "thaws"});
    for (const auto& callback : std::exchange(host.backlog, {}))
    {
        callback();
    }
}

void world::partition_data_centre(const std::string& data_centre)
{
    ++counts_.cuts;
    trace(0, {data_centre, "is cut off"});
    partitioned_.insert(data_centre);
    schedule(random_duration(200ms, 6s), [this, data_centre] { partitioned_.erase(data_centre); });
}

void world::drain(std::size_t index)
{
    host_process& host = hosts_[index];
    if (!host.alive || host.frozen || host.leaving || !has_replica_host(index))
    {
        return;
    }
    ++counts_.drains;
    host.leaving = true;
    trace(0, {host.name, "leaves"});
    on_host(index, [this](dispatcher& subject) { return subject.on_leave(now_); });
}

bool world::has_replica_host(std::size_t index) const
{
    std::size_t others = 0;
    for (std::size_t h = 0; h < hosts_.size(); ++h)
    {
        const auto& host = hosts_[h];
        const bool is_serving = host.alive && host.ready && now_ - host.ready_since >= replication_time &&
                                !host.leaving && !host.frozen && !is_partitioned(index, h);
        others += is_serving && h != index ? 1 : 0;
    }
    return others >= 1;
}

void world::fail_upstream(std::size_t index)
{
    upstreams_[index].failed = true;
    upstreams_[index].running = 0;
    schedule(random_duration(500ms, 4s), [this, index] { upstreams_[index].failed = false; });
}

void world::distribute_second_revision()
{
    if (std::exchange(is_second_distributed_, true))
    {
        return;
    }
    ++counts_.revisions;
    trace(0, {"the second revision is distributed"});
    for (std::size_t h = 0; h < hosts_.size(); ++h)
    {
        schedule(random_duration(0ms, 3s),
                 [this, h]
                 {
                     on_host(h,
                             [this](dispatcher& subject)
                             {
                                 subject.on_revision(second_revision_, now_);
                                 return actions{};
                             });
                 });
    }
}

void world::clear_faults()
{
    partitioned_.clear();
    shedding_upstream_ = upstreams_.size();
    for (auto& process : upstreams_)
    {
        process.failed = false;
    }
}

void world::check_final_state()
{
    for (const auto& host : hosts_)
    {
        if (host.alive && host.subject->open_requests() != 0)
        {
            report_violation("every request ends by its deadline", host.subject->open_requests());
        }
    }
    for (const auto& [key, tracked] : requests_)
    {
        counts_.unanswered += tracked.replied ? 0 : 1;
    }
}

} // namespace galenabay::torture
