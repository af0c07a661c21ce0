#include "packet_worker.hpp"

#include <galenabay/base/hash.hpp>
#include <galenabay/base/log.hpp>

#include <platform/packet_header.hpp>

#include <algorithm>
#include <array>
#include <utility>

// Ownership of starting upstreams: requests to the store and their results.
namespace galenabay::edge
{

namespace
{

using base::log_event;
using base::log_level;

/// Interval at which the host that watches the store looks for objects that nobody else removes.
constexpr base::duration cleanup_interval = warm_up_cleanup::min_age;

std::string object_name(const steer::upstream_entry& entry)
{
    return adapter::warm_up_object_name(entry.id, entry.started_ms);
}

/// Returns the key by which the hosts of a data centre are ranked for an incarnation.
std::uint64_t rank_key(const std::string& id, std::uint64_t started_ms)
{
    return base::mix(base::hash_text(id), started_ms);
}

} // namespace

void packet_worker::request_warm_ups(base::time_point now)
{
    const auto rank_of = [&](const steer::upstream_entry& entry)
    { return peers_.exchange().rank_for(rank_key(entry.id, entry.started_ms), now); };
    steerer_.on_store_epoch(state_.store_epoch.load());
    for (const auto& request : steerer_.take_warm_up_requests(rank_of, now))
    {
        const bool is_claim = request.what == steer::warm_up_request::kind::claim;
        const auto key = rank_key(request.id, request.started_ms);
        const bool taken = warm_ups_.request({.what = is_claim ? warm_up_call::kind::claim : warm_up_call::kind::remove,
                                              .token = request.token,
                                              .name = adapter::warm_up_object_name(request.id, request.started_ms),
                                              .holders = peers_.exchange().holders_for(key, request.max_shares, now)});
        if (!taken && is_claim)
        {
            apply_claim({.token = request.token, .result = steer::claim_result::failed, .epoch = 0}, now);
        }
    }
    send_shares(now);
    if (!state_.follows.load() || !steerer_.routes().has_warm_up_rates())
    {
        next_warm_up_list_ = now + cleanup_interval;
    }
    else if (now >= next_warm_up_list_)
    {
        next_warm_up_list_ = now + cleanup_interval;
        warm_ups_.request({.what = warm_up_call::kind::list, .token = 0, .name = {}});
    }
}

void packet_worker::apply_warm_up_reports(base::time_point now)
{
    while (const auto report = warm_ups_.take_report())
    {
        if (report->what == warm_up_call::kind::claim)
        {
            apply_claim(report->claim, now);
        }
        else
        {
            remove_unused_warm_ups(report->names, now);
        }
    }
}

void packet_worker::apply_claim(const steer::claim_answer& answer, base::time_point now)
{
    metrics_.warm_up_claims(answer.result).Increment();
    const bool owned = steerer_.on_claim(answer, now);
    const auto* upstream = steerer_.registry().find(answer.token);
    if (upstream != nullptr && answer.result != steer::claim_result::failed)
    {
        log_event{log_level::info, "warm_up_claimed"}
            .with("object", object_name(upstream->entry))
            .with("result", name_of(answer.result))
            .with("owned", owned ? 1 : 0)
            .with("holders", answer.holders.size())
            .with("share_per_s", steerer_.warm_up_share(*upstream, now));
        snapshot_due_ = true;
    }
    send_shares(now);
}

void packet_worker::apply_shares(const steer::warm_up_shares& shares, base::time_point now)
{
    if (!steerer_.on_shares(shares, now))
    {
        return;
    }
    metrics_.adopted_shares.Increment();
    log_event{log_level::info, "warm_up_share_adopted"}
        .with("object", adapter::warm_up_object_name(shares.id, shares.started_ms))
        .with("owner", shares.holders.front().host)
        .with("holders", shares.holders.size());
    snapshot_due_ = true;
}

void packet_worker::send_shares(base::time_point now)
{
    for (const auto& shares : steerer_.take_announcements(now))
    {
        peers_.send({peers_.exchange().on_shares(shares, now)});
    }
}

std::vector<peers::starting_upstream> packet_worker::shared_upstreams(base::time_point now)
{
    std::vector<peers::starting_upstream> shared;
    for (const auto* upstream : steerer_.starting_upstreams(now))
    {
        const auto rate = steerer_.warm_up_share(*upstream, now);
        if (rate > 0 && shared.size() < peers::max_starting_upstreams)
        {
            shared.push_back({.id = upstream->entry.id, .share_rate = rate});
        }
    }
    return shared;
}

void packet_worker::report_warm_ups(base::time_point now)
{
    metrics_.starting_upstreams.Set(static_cast<double>(steerer_.starting_upstreams(now).size()));
    const auto shared = shared_upstreams(now).size();
    // The published rates and the number of refused flows are at most one interval old.
    snapshot_due_ = snapshot_due_ || shared > 0 || metrics_.warm_up_shares.Value() > 0 ||
                    limited_flows_ != published_limited_flows_;
    metrics_.warm_up_shares.Set(static_cast<double>(shared));
}

void packet_worker::remove_unused_warm_ups(const std::vector<std::string>& listed, base::time_point now)
{
    std::set<std::string> in_use;
    for (const auto* upstream : steerer_.starting_upstreams(now))
    {
        in_use.insert(object_name(upstream->entry));
    }
    for (auto& name : warm_up_cleanup_.on_list(listed, in_use, now))
    {
        warm_ups_.request({.what = warm_up_call::kind::remove, .token = 0, .name = std::move(name)});
    }
}

std::optional<packet_worker::relay_host> packet_worker::find_relay_host(const steer::relay_target& target,
                                                                        base::time_point now)
{
    const auto* upstream = steerer_.registry().find(target.token);
    if (upstream == nullptr)
    {
        return std::nullopt;
    }
    auto& exchange = peers_.exchange();
    const auto& entry = upstream->entry;
    if (entry.data_centre != data_centre_)
    {
        auto others = exchange.remote_members();
        std::erase_if(others, [&](const peers::member& other) { return other.data_centre != entry.data_centre; });
        std::sort(others.begin(), others.end());
        const auto* other = others.empty() ? nullptr : &others[target.lot % others.size()];
        return other == nullptr ? std::nullopt : std::optional{relay_host{other->name, other->address}};
    }
    const auto key = rank_key(entry.id, entry.started_ms);
    const bool is_holder = exchange.rank_for(key, now).value_or(target.holders) < target.holders;
    // The first one of the list is this host.
    const auto holders = exchange.holders_for(key, is_holder ? target.holders : target.holders + 1, now);
    if (holders.size() < 2)
    {
        return std::nullopt;
    }
    const auto& chosen = holders[1 + target.lot % (holders.size() - 1)];
    const auto address = exchange.address_of(chosen, now);
    return address ? std::optional{relay_host{chosen.host, *address}} : std::nullopt;
}

bool packet_worker::pass_on(std::span<const std::byte> packet, const steer::relay_target& target, base::time_point now)
{
    const auto host = find_relay_host(target, now);
    if (!host || packet.size() > peers::max_relayed_packet)
    {
        return false;
    }
    peers_.send({{.content = peers::relayed_syn{.packet = {packet.begin(), packet.end()},
                                                .receiver = steer::host_key(host->name),
                                                .service = target.service,
                                                .passes_left = target.passes_left},
                  .to = {host->address}}});
    ++relayed_syns_;
    metrics_.relayed_syns.Increment();
    return true;
}

void packet_worker::decide_relayed(base::time_point now)
{
    for (const auto& relayed : peers_.take_relayed())
    {
        auto& datagram = buffers_.front();
        const auto header = adapter::decode_header(relayed.packet);
        if (!header || !header->syn || !datagram.assign(relayed.packet))
        {
            metrics_.malformed_packets.Increment();
            continue;
        }
        const auto decision = steerer_.on_relayed({.header = *header,
                                                   .receiver = relayed.receiver,
                                                   .service = relayed.service,
                                                   .passes_left = relayed.passes_left},
                                                  now);
        const bool is_opened = decision.action == steer::steering_action::forward;
        opened_for_others_ += is_opened ? 1 : 0;
        metrics_.received_syns(is_opened).Increment();
        if (apply(decision, *header, datagram, now))
        {
            const std::array<net::packet*, 1> single{&datagram};
            send(single);
        }
    }
}

void packet_worker::log_relapses(const steer::steerer::outcome& effects)
{
    for (const auto& [upstream, count] : effects.relapses)
    {
        log_event{log_level::warning, "upstream_relapsed"}
            .with("id", upstream->entry.id)
            .with("service", upstream->entry.service)
            .with("address", upstream->entry.address.to_string())
            .with("relapses", count);
    }
}

} // namespace galenabay::edge
