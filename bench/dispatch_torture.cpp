#include "dispatch_torture.hpp"

namespace galenabay::torture
{

bool world::run()
{
    create_fleet();
    schedule_faults();
    schedule_load();
    while (!events_.empty())
    {
        const auto next = events_.top();
        events_.pop();
        now_ = next.at;
        next.callback();
    }
    check_final_state();
    return violations_ == 0;
}

void world::schedule(base::duration delay, std::function<void()> callback)
{
    if (now_ + delay <= end())
    {
        events_.push({now_ + delay, order_++, std::move(callback)});
    }
}

base::duration world::random_duration(base::duration low, base::duration high)
{
    return low + base::duration{static_cast<base::duration::rep>(
                     random_.below(static_cast<std::uint64_t>((high - low).count()) + 1))};
}

void world::report_violation(const char* guarantee, request_key key)
{
    ++violations_;
    ++counts_.violations;
    std::printf("VIOLATION seed=%llu promise=\"%s\" key=%llu at=%.3fs\n", static_cast<unsigned long long>(seed_),
                guarantee, static_cast<unsigned long long>(key),
                std::chrono::duration<double>{now_.time_since_epoch()}.count());
}

void world::trace(request_key key, std::initializer_list<std::string_view> words) const
{
    if (traced_ == 0 || (key != 0 && key != traced_))
    {
        return;
    }
    std::string line;
    for (const auto word : words)
    {
        line += " ";
        line += word;
    }
    std::printf("%.4f%s\n", std::chrono::duration<double>{now_.time_since_epoch()}.count(), line.c_str());
}

void world::create_fleet()
{
    loss_probability_ = random_.unit() * 0.15;
    duplication_probability_ = random_.unit() * 0.15;
    const std::size_t data_centres = 1 + random_.below(3);
    for (std::size_t d = 0; d < data_centres; ++d)
    {
        const std::string data_centre = "dc" + std::to_string(d);
        const std::size_t hosts = (data_centres == 1 ? 2 : 1) + random_.below(3);
        for (std::size_t h = 0; h < hosts; ++h)
        {
            hosts_.push_back({});
            hosts_.back().name = data_centre + "-h" + std::to_string(h);
            hosts_.back().data_centre = data_centre;
        }
        const std::size_t upstreams = 1 + random_.below(3);
        for (std::size_t u = 0; u < upstreams; ++u)
        {
            config::upstream target;
            target.name = data_centre + "-u" + std::to_string(u);
            target.endpoint =
                base::endpoint::make_v4(0x0a010000U + static_cast<std::uint32_t>(upstreams_.size()), 7000);
            target.data_centre = data_centre;
            upstreams_.push_back({target, 0, false});
        }
    }
    make_revisions();
    for (std::size_t h = 0; h < hosts_.size(); ++h)
    {
        start_host(h);
        schedule(base::duration{static_cast<base::duration::rep>(h)}, [this, h] { heartbeat(h); });
    }
}

void world::make_revisions()
{
    config::service service;
    service.name = "parts";
    service.kind = config::service_kind::coap;
    service.address = base::endpoint::make_v4(0x0a000001, 5683);
    service.requests.deadline_ms = deadline_ms;
    service.requests.queue_limit = 6;
    for (const auto& process : upstreams_)
    {
        service.upstreams.push_back(process.target);
    }
    first_revision_.number = 1;
    first_revision_.set.services = {service};
    second_revision_ = first_revision_;
    second_revision_.number = 2;
    second_revision_.set.services[0].upstreams.front().slots = 6;
    if (service.upstreams.size() > 1)
    {
        second_revision_.set.services[0].upstreams.back().draining = true;
    }
    second_revision_.lineage[service.name] = {{1, service.address, service.upstreams}};
    service_ = service;
}

void world::start_host(std::size_t index)
{
    host_process& host = hosts_[index];
    dispatcher_settings settings;
    settings.self = host.name;
    settings.data_centre = host.data_centre;
    settings.seed = random_();
    settings.pause_limit = pause_limit;
    settings.retransmission_span = retransmission_span;
    settings.settle_time = settle_time;
    settings.reply_retention = retransmission_span;
    settings.key_retention = 60s;
    host.subject = std::make_unique<dispatcher>(settings);
    host.alive = true;
    host.leaving = false;
    host.frozen = false;
    host.ready = false;
    host.backlog.clear();
    host.last_heartbeats.clear();
    const std::uint64_t incarnation = ++host.incarnation;
    std::vector<membership::listed_host> listed;
    for (const auto& other : hosts_)
    {
        listed.push_back({other.name, other.data_centre, {}, {}, false});
    }
    host.subject->on_listed_hosts(listed, now_);
    host.subject->on_revision(is_second_distributed_ ? second_revision_ : first_revision_, now_);
    schedule(settle_time + 100ms,
             [this, index, incarnation]
             {
                 host_process& started = hosts_[index];
                 started.ready = started.alive && started.incarnation == incarnation && !started.leaving;
                 started.ready_since = now_;
                 trace(0, {started.name, "is ready"});
                 refresh_view(index);
             });
    schedule(0ms, [this, index, incarnation] { tick(index, incarnation); });
}

} // namespace galenabay::torture
