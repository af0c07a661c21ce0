#include "steering_state.hpp"

#include <algorithm>

namespace galenabay::flow
{

namespace
{

/// Established flows leave an upstream only after it was reported unhealthy for
/// this long without an answer.
constexpr base::duration dead_after{1'000'000};
/// An upstream that answered this recently is alive, whatever health is
/// reported.
constexpr base::duration answer_validity{3'500'000};
/// Interval at which an upstream that flows have left is announced again.
constexpr base::duration announce_interval{60'000'000};
/// Health reports are ignored when fewer than one in this many upstreams is
/// healthy.
constexpr std::size_t panic_divisor = 2;
/// Time for which an upstream counts as recently unhealthy, in idle timeouts.
/// Flows that left it may exist that long without this host receiving a record.
constexpr int unhealthy_retention_factor = 4;

} // namespace

void steering::state::on_health(config::upstream_id upstream, bool healthy, base::time_point now)
{
    now_ = now;
    const auto index = index_.find_upstream(upstream);
    if (index == no_upstream_index)
    {
        return;
    }
    auto& slot = index_.upstream(index);
    if (slot.healthy && !healthy)
    {
        slot.unhealthy_since = now;
    }
    slot.healthy = healthy;
    if (!healthy)
    {
        record_unhealthy(index, now);
    }
}

void steering::state::on_alive(config::upstream_id upstream, base::time_point now)
{
    now_ = now;
    if (const auto index = index_.find_upstream(upstream); index != no_upstream_index)
    {
        auto& slot = index_.upstream(index);
        slot.answered = true;
        slot.answered_at = now;
    }
}

void steering::state::record_unhealthy(std::uint32_t upstream, base::time_point at)
{
    if (upstream == no_upstream_index)
    {
        return;
    }
    auto& slot = index_.upstream(upstream);
    const bool announced = slot.was_unhealthy && at - slot.unhealthy_at < announce_interval;
    if (!announced || !slot.healthy)
    {
        slot.was_unhealthy = true;
        slot.unhealthy_at = at;
        exchange_.announce(notice_kind::unhealthy, static_cast<std::uint32_t>(index_.service(slot.service).id),
                           static_cast<std::uint32_t>(slot.id), at, now_);
    }
}

void steering::state::on_unhealthy(const notice& value)
{
    const auto index = index_.find_upstream(value.subject, value.detail);
    if (index == no_upstream_index)
    {
        return;
    }
    auto& slot = index_.upstream(index);
    const auto at = now_ - decode_age(value.number);
    slot.unhealthy_at = slot.was_unhealthy ? std::max(slot.unhealthy_at, at) : at;
    slot.was_unhealthy = true;
}

void steering::state::publish_unhealthy()
{
    std::vector<announcement> list;
    for (std::uint32_t i = 0; i < index_.upstream_count(); ++i)
    {
        if (recently_unhealthy(i))
        {
            const auto& slot = index_.upstream(i);
            const auto since = slot.healthy ? slot.unhealthy_at : now_;
            list.push_back({notice_kind::unhealthy,
                            static_cast<std::uint32_t>(index_.service(slot.service).id),
                            static_cast<std::uint32_t>(slot.id),
                            since,
                            {}});
        }
    }
    exchange_.set_unhealthy(std::move(list));
}

bool steering::state::recently_unhealthy(std::uint32_t upstream) const
{
    const auto& slot = index_.upstream(upstream);
    return slot.listed && (!slot.healthy || (slot.was_unhealthy &&
                                             now_ - slot.unhealthy_at < unhealthy_retention_factor *
                                                                            index_.service(slot.service).idle_timeout));
}

bool steering::state::may_recover(std::uint32_t upstream) const
{
    const auto& slot = index_.upstream(upstream);
    return slot.reachable() && !slot.healthy && now_ - slot.unhealthy_since < dead_after;
}

bool steering::state::in_panic(std::uint32_t service) const
{
    std::size_t open = 0;
    std::size_t healthy = 0;
    for (const auto upstream : index_.service(service).upstreams)
    {
        const auto& slot = index_.upstream(upstream);
        open += slot.open ? 1 : 0;
        healthy += slot.open && slot.healthy ? 1 : 0;
    }
    return healthy * panic_divisor < open;
}

bool steering::state::accepts_new_flows(std::uint32_t upstream) const
{
    const auto& slot = index_.upstream(upstream);
    return slot.open && slot.reachable() && (slot.healthy || in_panic(slot.service));
}

bool steering::state::keeps_established_flows(std::uint32_t upstream) const
{
    const auto& slot = index_.upstream(upstream);
    return slot.healthy || now_ - slot.unhealthy_since < dead_after ||
           (slot.answered && now_ - slot.answered_at < answer_validity) || in_panic(slot.service);
}

std::uint32_t steering::state::choose_open(std::uint32_t service, std::uint64_t key) const
{
    const auto& choice = index_.service(service).choice;
    if (choice.versions() == 0)
    {
        return no_upstream_index;
    }
    const bool ignore_health = in_panic(service);
    return choice.choose(key,
                         [&](std::uint32_t upstream)
                         {
                             const auto& slot = index_.upstream(upstream);
                             return slot.open && slot.reachable() && (slot.healthy || ignore_health);
                         });
}

} // namespace galenabay::flow
