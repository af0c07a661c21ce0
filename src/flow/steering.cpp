#include <galenabay/flow/steering.hpp>

#include "steering_state.hpp"

#include <utility>

namespace galenabay::flow
{

steering::steering(steering_settings settings) : state_{std::make_unique<state>(std::move(settings))} {}
steering::steering(steering&&) noexcept = default;
steering& steering::operator=(steering&&) noexcept = default;
steering::~steering() = default;

void steering::on_revision(const config::accepted_revision& revision, base::time_point now)
{
    state_->on_revision(revision, now);
}

void steering::on_hosts(std::span<const membership::live_host> hosts, base::time_point now)
{
    state_->on_hosts(hosts, now);
}

void steering::on_health(config::upstream_id upstream, bool healthy, base::time_point now)
{
    state_->on_health(upstream, healthy, now);
}

decision steering::on_packet(const base::endpoint& caller, const base::endpoint& service, std::uint8_t hops,
                             base::time_point now)
{
    return state_->on_packet(caller, service, hops, now);
}

void steering::on_alive(config::upstream_id upstream, base::time_point now)
{
    state_->on_alive(upstream, now);
}

void steering::on_upstream_packet(const base::endpoint& caller, const base::endpoint& service,
                                  const base::endpoint& upstream, base::time_point now)
{
    state_->on_upstream_packet(caller, service, upstream, now);
}

void steering::on_records(std::span<const flow_record> records, base::time_point now)
{
    state_->on_records(records, now);
}

std::vector<flow_record> steering::take_records(std::size_t host, std::size_t budget_bytes, base::time_point now)
{
    return state_->take_records(host, budget_bytes, now);
}

void steering::on_tick(base::time_point now, bool paused)
{
    state_->on_tick(now, paused);
}

bool steering::may_reach(const base::endpoint& service, const base::endpoint& upstream) const
{
    return state_->may_reach(service, upstream);
}

const steering_counters& steering::counters() const noexcept
{
    return state_->counters();
}

} // namespace galenabay::flow
