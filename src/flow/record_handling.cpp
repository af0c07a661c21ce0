#include "flow_key.hpp"
#include "steering_state.hpp"

#include <algorithm>

namespace galenabay::flow
{

void steering::state::sample_complete_revision()
{
    complete_samples_.emplace_back(now_, exchange_.complete_revision());
    while (now_ - complete_samples_.front().first > record_latency)
    {
        complete_samples_.pop_front();
    }
}

std::uint64_t steering::state::stable_complete_revision() const
{
    auto least = exchange_.complete_revision();
    for (const auto& [time, revision] : complete_samples_)
    {
        least = std::min(least, revision);
    }
    return least;
}

void steering::state::update_settled_versions()
{
    const bool known = exchange_.has_peers() ? exchange_.complete_for_set() || complete_ranking_ : is_sole_host();
    if (!known)
    {
        return;
    }
    const auto complete = stable_complete_revision();
    for (std::uint32_t i = 0; i < index_.service_count(); ++i)
    {
        if (auto& slot = index_.service(i); !slot.version_tags.empty() && slot.changed_in <= complete)
        {
            slot.settled_tag = slot.version_tags.front();
            const bool recent = now_ - slot.adopted_at < record_latency;
            slot.bypassed = !slot.awaited.empty() || (slot.bypassed && recent);
        }
    }
}

void steering::state::update_complete_ranking()
{
    if (exchange_.has_peers() && exchange_.complete_for_set() && exchange_.complete_revision() >= revision_)
    {
        complete_ranking_ = ranking_;
    }
}

std::optional<std::size_t> steering::state::host_index(std::uint64_t id) const
{
    const auto& hosts = ranking_.hosts();
    const auto found =
        std::find_if(hosts.begin(), hosts.end(), [&](const auto& host) { return host.id >> 32 == id >> 32; });
    return found == hosts.end() ? std::nullopt : std::optional<std::size_t>{found - hosts.begin()};
}

bool steering::state::needs_record(std::uint64_t key, const flow_entry& entry) const
{
    const auto& slot = index_.service(index_.upstream(entry.upstream).service);
    if (entry.moved != 0 || slot.has_former_address || !slot.present)
    {
        return true;
    }
    // Without a record, a host would place the flow by the version in force.
    candidate_list candidates;
    slot.choice.choose_all(key, candidates);
    return candidates[0] != entry.upstream;
}

bool steering::state::is_disputed(std::uint64_t key, const flow_entry& entry) const
{
    candidate_list candidates;
    const auto service = index_.upstream(entry.upstream).service;
    return !index_.service(service).choice.choose_all(key, candidates);
}

void steering::state::scan_table()
{
    struct target
    {
        scan_request request;
        std::size_t host = 0;
        const host_ranking* covered = nullptr;
    };
    std::vector<target> targets;
    for (const auto& request : exchange_.start_scan(revision_))
    {
        if (const auto host = host_index(request.host))
        {
            const auto past = std::find_if(past_rankings_.begin(), past_rankings_.end(),
                                           [&](const auto& one) { return one.first == request.covered_set; });
            const bool same = request.covered_set == ranking_.set_hash();
            const auto* covered = same ? &ranking_ : past == past_rankings_.end() ? nullptr : &past->second;
            targets.push_back({request, *host, covered});
        }
    }
    const auto was_sent = [&](const target& to, const service_slot& slot, std::uint64_t key)
    {
        if (to.covered == nullptr || to.request.covered_revision < slot.changed_in)
        {
            return false;
        }
        const auto& hosts = to.covered->hosts();
        const auto host = std::find_if(hosts.begin(), hosts.end(),
                                       [&](const auto& one) { return one.id >> 32 == to.request.host >> 32; });
        return host != hosts.end() &&
               to.covered->keeps_records(static_cast<std::size_t>(host - hosts.begin()), slot.id, key);
    };
    // No packet is relayed to a host that has left, so it also sends the flows that
    // the next version may move: those on which the versions disagree.
    const bool leaving = !ranking_.has_self();
    const auto visit = [&](std::uint64_t key, flow_entry& entry)
    {
        const bool needed = needs_record(key, entry);
        if (is_expired(entry) || (!needed && !(leaving && is_disputed(key, entry))))
        {
            return true;
        }
        const auto& slot = index_.service(index_.upstream(entry.upstream).service);
        if (ranking_.self_keeps_records(slot.id, key))
        {
            entry.registered = 1;
        }
        for (const auto& to : targets)
        {
            if (ranking_.keeps_records(to.host, slot.id, key) && !(needed && was_sent(to, slot, key)))
            {
                exchange_.queue_bulk(to.request.host, {key, coarse_time::of(now_).since(entry.last_seen), !needed});
            }
        }
        return true;
    };
    for (std::size_t bucket = 0; !targets.empty() && bucket < table_.bucket_count(); ++bucket)
    {
        table_.visit_bucket(bucket, visit);
    }
    for (const auto& to : targets)
    {
        exchange_.end_scan(to.request.host);
    }
}

bool steering::state::make_record(std::uint64_t key, flow_record& record)
{
    const auto* entry = table_.find(key);
    if (entry == nullptr || is_expired(*entry))
    {
        return false;
    }
    const auto& slot = index_.upstream(entry->upstream);
    const flow_idle_time idle_time{coarse_time::of(now_).since(entry->last_seen), entry->established != 0};
    record.key = encode_idle_time(key, idle_time, index_.service(slot.service).idle_timeout);
    record.service = static_cast<std::uint32_t>(index_.service(slot.service).id);
    record.upstream = static_cast<std::uint32_t>(slot.id);
    ++counters_.records_sent;
    return true;
}

std::vector<flow_record> steering::state::take_records(std::size_t host, std::size_t budget_bytes, base::time_point now)
{
    now_ = now;
    if (host >= ranking_.hosts().size() || ranking_.is_self(host))
    {
        return {};
    }
    if (revision_ != 0 && exchange_.scan_due(revision_))
    {
        scan_table();
    }
    return exchange_.take_records(ranking_.hosts()[host].id, budget_bytes, revision_, now,
                                  [&](std::uint64_t key, flow_record& record) { return make_record(key, record); });
}

void steering::state::on_records(std::span<const flow_record> records, base::time_point now)
{
    now_ = now;
    for (const auto& record : records)
    {
        if (!is_notice(record))
        {
            on_flow_record(record);
            continue;
        }
        const auto value = decode_notice(record);
        switch (value.kind)
        {
        case notice_kind::changed:
            on_changed(value);
            break;
        case notice_kind::unhealthy:
            on_unhealthy(value);
            break;
        case notice_kind::request:
        case notice_kind::batch:
        case notice_kind::complete:
            exchange_.on_notice(value, now);
            break;
        }
    }
    update_complete_ranking();
}

void steering::state::on_changed(const notice& value)
{
    for (std::uint32_t i = 0; i < index_.service_count(); ++i)
    {
        auto& slot = index_.service(i);
        if (static_cast<std::uint32_t>(slot.id) != value.subject || slot.version_tags.empty())
        {
            continue;
        }
        const auto since = now_ - decode_age(value.number);
        const auto known =
            std::find_if(slot.version_tags.begin(), slot.version_tags.end(),
                         [&](std::uint64_t tag) { return static_cast<std::uint32_t>(tag) == value.detail; });
        if (known == slot.version_tags.begin())
        {
            slot.changed_at = std::min(slot.changed_at, since);
        }
        else if (known == slot.version_tags.end())
        {
            slot.await_version(value.detail, since);
        }
    }
}

void steering::state::on_flow_record(const flow_record& record)
{
    ++counters_.records_received;
    const auto upstream = index_.find_upstream(record.service, record.upstream);
    if (upstream == no_upstream_index)
    {
        has_unresolved_record_ = true;
        return;
    }
    const auto reported = decode_idle_time(record.key, index_.service(index_.upstream(upstream).service).idle_timeout);
    const auto key = record.key & key_mask;
    auto* entry = table_.find(key);
    if (entry != nullptr && entry->upstream != upstream)
    {
        const bool fresher = coarse_time::of(now_).since(entry->last_seen) <= reported.idle_time;
        // A flow leaves an unhealthy upstream but never moves to one. The idle time of a
        // record is too coarse to order a move and the last packet before it.
        const bool keeps_entry = keeps_established_flows(entry->upstream);
        const bool keeps_record = keeps_established_flows(upstream);
        const bool prefers_entry = keeps_entry == keeps_record ? fresher : keeps_entry;
        if (prefers_entry && !is_expired(*entry))
        {
            return;
        }
        table_.erase(key);
        entry = nullptr;
    }
    const auto seen = coarse_time::of(now_ - reported.idle_time);
    if (entry == nullptr)
    {
        entry = &table_.insert(key, now_, [&](const flow_entry& one) { return is_expired(one); });
        entry->upstream = upstream;
        entry->first_seen = seen;
        entry->last_seen = seen;
        entry->confirmed = seen;
    }
    if (seen.since(entry->last_seen).count() > 0)
    {
        entry->last_seen = seen;
    }
    entry->registered = 1;
    if (seen.since(entry->confirmed).count() > 0)
    {
        entry->confirmed = seen;
    }
    if (reported.established)
    {
        table_.establish(key, *entry);
    }
}

} // namespace galenabay::flow
