#include "steering_state.hpp"

#include "flow_key.hpp"

#include <galenabay/base/invariant.hpp>

#include <algorithm>
#include <utility>

namespace galenabay::flow
{

namespace
{

/// One tick searches this fraction of the table for expired flows.
constexpr std::size_t sweep_divisor = 32;
/// Earlier sets of hosts kept, so that after a change a scan sends only the
/// records that a peer lacks.
constexpr std::size_t max_past_rankings = 8;

} // namespace

steering::state::state(steering_settings settings)
    : settings_{std::move(settings)}, table_{settings_.table_size}, exchange_{settings_.seed}
{
    const auto id = base::hash_text(settings_.self);
    exchange_.set_self(id);
}

void steering::state::on_revision(const config::accepted_revision& revision, base::time_point now)
{
    now_ = now;
    if (revision.number <= revision_)
    {
        return;
    }
    update_settled_versions();
    const bool first = revision_ == 0;
    revision_ = revision.number;
    for (const auto service : index_.apply_revision(revision, now))
    {
        const auto& slot = index_.service(service);
        if (!first || slot.first_revision == revision.number)
        {
            exchange_.announce(notice_kind::changed, static_cast<std::uint32_t>(slot.id),
                               static_cast<std::uint32_t>(slot.version_tags.front()), slot.changed_at, now);
        }
    }
    if (std::exchange(has_unresolved_record_, false))
    {
        exchange_.request_all();
    }
}

void steering::state::on_hosts(std::span<const membership::live_host> hosts, base::time_point now)
{
    now_ = now;
    started_at_ = started_at_.value_or(now);
    const bool had_peers = exchange_.has_peers();
    update_settled_versions();
    auto before = ranking_;
    if (!ranking_.set_hosts(hosts, settings_.self))
    {
        return;
    }
    past_rankings_.emplace_back(before.set_hash(), std::move(before));
    if (past_rankings_.size() > max_past_rankings)
    {
        past_rankings_.erase(past_rankings_.begin());
    }
    std::vector<membership::live_host> peers;
    std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(peers),
                 [&](const membership::live_host& host) { return host.name != settings_.self; });
    exchange_.set_peers(peers, ranking_.set_hash(), now);
    if (peers.empty() && (had_peers || !without_peers_since_))
    {
        without_peers_since_ = now;
    }
}

void steering::state::on_tick(base::time_point now, bool paused)
{
    now_ = now;
    if (paused)
    {
        resumed_at_ = now;
        without_peers_since_ = now;
        complete_ranking_.reset();
        exchange_.request_all_and_wait(now);
        for (std::uint32_t i = 0; i < index_.service_count(); ++i)
        {
            index_.service(i).settled_tag = 0;
        }
    }
    exchange_.on_tick(now);
    if (exchange_.has_required_answers(revision_))
    {
        answers_missing_since_.reset();
    }
    else if (!answers_missing_since_)
    {
        answers_missing_since_ = now;
    }
    update_complete_ranking();
    sample_complete_revision();
    publish_unhealthy();
    sweep();
}

void steering::state::sweep()
{
    const std::size_t count = std::max<std::size_t>(1, table_.bucket_count() / sweep_divisor);
    for (std::size_t i = 0; i < count; ++i)
    {
        table_.visit_bucket(next_bucket_,
                            [&](std::uint64_t key, flow_entry& entry)
                            {
                                if (is_expired(entry))
                                {
                                    table_.count_idle_eviction();
                                    return false;
                                }
                                const auto service = index_.upstream(entry.upstream).service;
                                if (entry.moved != 0)
                                {
                                    // As long as such a flow lives, no host may decide alone on
                                    // unknown flows that this upstream would get.
                                    record_unhealthy(choose_open(service, key), now_);
                                }
                                return true;
                            });
        next_bucket_ = (next_bucket_ + 1) % table_.bucket_count();
    }
}

bool steering::state::is_expired(const flow_entry& entry) const
{
    constexpr int registered_factor = 3;
    const auto& owner = index_.service(index_.upstream(entry.upstream).service);
    const auto limit = owner.idle_timeout * (entry.registered != 0 ? registered_factor : 1);
    return coarse_time::of(now_).since(entry.last_seen) >= limit;
}

bool steering::state::may_reach(const base::endpoint& address, const base::endpoint& upstream) const
{
    const auto* owners = index_.find_address(address);
    if (owners == nullptr)
    {
        return false;
    }
    const auto reaches = [&](std::uint32_t service)
    {
        const auto found = index_.find_upstream(service, upstream);
        return found != no_upstream_index && index_.upstream(found).reachable();
    };
    if (owners->current != address_owners::none && reaches(owners->current))
    {
        return true;
    }
    return std::any_of(owners->former.begin(), owners->former.end(),
                       [&](const former_owner& one) { return reaches(one.service); });
}

const steering_counters& steering::state::counters() noexcept
{
    counters_.flows = table_.size();
    counters_.evicted_idle = table_.evicted_idle();
    counters_.evicted_full = table_.evicted_full();
    return counters_;
}

} // namespace galenabay::flow
