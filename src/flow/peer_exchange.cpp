#include "peer_exchange.hpp"

#include <galenabay/base/hash.hpp>

#include <algorithm>
#include <limits>
#include <tuple>

namespace galenabay::flow
{

namespace
{

/// Time for which a notice is repeated.
constexpr base::duration announce_duration{4'000'000};
/// Interval at which `request` and `complete` are repeated.
constexpr base::duration repeat_interval{2'000'000};
/// A batch that has been missing for this long counts as lost.
constexpr base::duration loss_timeout{1'500'000};
/// Time for which a host that left the list may still send records.
constexpr base::duration departure_timeout{6'000'000};
/// Limits announcements, so that many of them at once leave room for records.
constexpr std::size_t max_announcements = 16;

} // namespace

void peer_exchange::start_request(peer_link& link) noexcept
{
    ++nonce_counter_;
    link.own_nonce = static_cast<std::uint16_t>(base::mix(seed_, nonce_counter_) | 1);
    link.answered = false;
    link.received = batch_window{};
    link.complete.reset();
    link.gap_since.reset();
    link.request_sent.reset();
}

void peer_exchange::set_peers(std::span<const membership::live_host> peers, std::uint16_t set_hash,
                              base::time_point now)
{
    set_hash_ = set_hash;
    std::map<std::uint32_t, bool> live_peers;
    for (const auto& peer : peers)
    {
        live_peers[short_host_id(peer.id)] = true;
    }
    for (auto& [name, link] : links_)
    {
        if (link.live && live_peers.count(name) == 0)
        {
            link.live = false;
            link.left_at = now;
        }
    }
    for (const auto& [name, ignored] : live_peers)
    {
        const auto [found, added] = links_.try_emplace(name);
        auto& link = found->second;
        if (!link.live)
        {
            // A peer that returns may have moved flows in the meantime. A peer
            // that is new to a running host has no records of older flows.
            link.answer_required = !added || !started_;
            link.live = true;
            link.left_at.reset();
            start_request(link);
        }
    }
    live_count_ = live_peers.size();
    started_ = started_ || live_count_ > 0;
}

void peer_exchange::request_all_and_wait(base::time_point)
{
    for (auto& [name, link] : links_)
    {
        link.answer_required = true;
        start_request(link);
    }
}

void peer_exchange::request_all()
{
    for (auto& [name, link] : links_)
    {
        start_request(link);
    }
}

void peer_exchange::announce(notice_kind kind, std::uint32_t subject, std::uint32_t detail, base::time_point since,
                             base::time_point now)
{
    std::erase_if(announcements_,
                  [&](const announcement& one)
                  {
                      const bool same = one.kind == kind && one.subject == subject;
                      return same && (kind == notice_kind::changed || one.detail == detail);
                  });
    announcements_.push_back({kind, subject, detail, since, now + announce_duration});
    if (announcements_.size() > max_announcements)
    {
        announcements_.erase(announcements_.begin());
    }
}

void peer_exchange::on_request(peer_link& link, const notice& value)
{
    if (link.requested && link.peer_nonce == value.nonce())
    {
        return;
    }
    link.requested = true;
    link.request_sent.reset();
    link.peer_nonce = value.nonce();
    link.last_batch = 0;
    link.urgent.clear();
    link.found.clear();
    link.bulk.clear();
    link.bulk_sent = 0;
    link.answer_due = true;
    link.unhealthy_sent = 0;
    link.scanned = false;
    link.complete_sent.reset();
}

void peer_exchange::on_notice(const notice& value, base::time_point)
{
    const auto found = links_.find(value.sender);
    if (found == links_.end())
    {
        return;
    }
    auto& link = found->second;
    switch (value.kind)
    {
    case notice_kind::request:
        link.revision = std::max<std::uint64_t>(link.revision, value.subject);
        on_request(link, value);
        break;
    case notice_kind::batch:
        if (value.nonce() == link.own_nonce)
        {
            link.answered = true;
            link.received.receive(value.number);
        }
        break;
    case notice_kind::complete:
        if (value.nonce() == link.own_nonce)
        {
            link.answered = true;
            link.revision = std::max<std::uint64_t>(link.revision, value.subject);
            if (!link.complete || value.subject > link.complete->revision || value.number >= link.complete->last_batch)
            {
                link.complete = completed_scan{value.subject, value.set_hash(), value.number};
            }
        }
        break;
    case notice_kind::changed:
    case notice_kind::unhealthy:
        break;
    }
}

void peer_exchange::queue_flow(std::uint64_t host, std::uint64_t key, record_urgency urgency)
{
    const auto found = links_.find(short_host_id(host));
    if (found == links_.end() || !found->second.live)
    {
        return;
    }
    auto& link = found->second;
    switch (urgency)
    {
    case record_urgency::changed:
        link.urgent.push_back(key);
        break;
    case record_urgency::found_slow:
        link.found.push_front(key);
        break;
    case record_urgency::found:
        link.found.push_back(key);
        break;
    }
}

void peer_exchange::queue_bulk(std::uint64_t host, queued_flow flow)
{
    links_[short_host_id(host)].bulk.push_back(flow);
}

void peer_exchange::end_scan(std::uint64_t host)
{
    auto& bulk = links_[short_host_id(host)].bulk;
    std::stable_sort(bulk.begin(), bulk.end(),
                     [](const queued_flow& a, const queued_flow& b)
                     { return std::tie(a.optional, a.idle_time) < std::tie(b.optional, b.idle_time); });
}

bool peer_exchange::scan_due(std::uint64_t revision) const
{
    return std::any_of(links_.begin(), links_.end(),
                       [&](const auto& entry)
                       {
                           const auto& link = entry.second;
                           return link.live && link.requested &&
                                  (!link.scanned || link.scan_revision != revision || link.scan_set_hash != set_hash_);
                       });
}

std::vector<scan_request> peer_exchange::start_scan(std::uint64_t revision)
{
    std::vector<scan_request> requests;
    for (auto& [name, link] : links_)
    {
        if (!link.live || !link.requested ||
            (link.scanned && link.scan_revision == revision && link.scan_set_hash == set_hash_))
        {
            continue;
        }
        link.bulk.erase(link.bulk.begin(), link.bulk.begin() + static_cast<std::ptrdiff_t>(link.bulk_sent));
        link.bulk_sent = 0;
        const auto covered = link.scanned ? link.scan_revision : 0;
        requests.push_back({static_cast<std::uint64_t>(name) << 32, covered, link.scan_set_hash});
        link.scanned = true;
        link.scan_revision = revision;
        link.scan_set_hash = set_hash_;
        link.complete_sent.reset();
    }
    return requests;
}

void peer_exchange::add_notice(record_list& to, notice_kind kind, std::uint32_t number, std::uint32_t subject,
                               std::uint32_t detail) const
{
    to.push_back(encode_notice(notice{kind, self_, number, subject, detail}));
}

void peer_exchange::add_control(peer_link& link, record_list& to, std::size_t limit, std::uint64_t revision,
                                base::time_point now)
{
    const bool request_due = !link.request_sent || (!link.answered && now - *link.request_sent >= loss_timeout) ||
                             now - *link.request_sent >= 5 * repeat_interval;
    if (request_due && to.size() < limit)
    {
        add_notice(to, notice_kind::request, 0, static_cast<std::uint32_t>(revision), link.own_nonce);
        link.request_sent = now;
    }
    std::erase_if(announcements_, [&](const announcement& one) { return one.until < now; });
    for (const auto& one : announcements_)
    {
        if (to.size() < limit)
        {
            add_notice(to, one.kind, encode_age(now - one.since), one.subject, one.detail);
        }
    }
    while (link.unhealthy_sent < unhealthy_.size() && to.size() < limit)
    {
        const auto& one = unhealthy_[link.unhealthy_sent++];
        add_notice(to, one.kind, encode_age(now - one.since), one.subject, one.detail);
    }
}

void peer_exchange::add_flows(peer_link& link, record_list& to, std::size_t limit,
                              const std::function<bool(std::uint64_t, flow_record&)>& record_of)
{
    const bool controls_sent = link.unhealthy_sent >= unhealthy_.size();
    if (!link.requested || to.size() + 1 >= limit || !controls_sent || (link.queues_empty() && !link.answer_due))
    {
        return;
    }
    ++link.last_batch;
    add_notice(to, notice_kind::batch, link.last_batch, 0, link.peer_nonce);
    link.answer_due = false;
    flow_record record;
    for (auto* queue : {&link.urgent, &link.found})
    {
        while (to.size() < limit && !queue->empty())
        {
            if (record_of(queue->front(), record))
            {
                to.push_back(record);
            }
            queue->pop_front();
        }
    }
    while (to.size() < limit && link.bulk_sent < link.bulk.size())
    {
        if (record_of(link.bulk[link.bulk_sent].key, record))
        {
            to.push_back(record);
        }
        ++link.bulk_sent;
    }
}

void peer_exchange::add_complete(peer_link& link, record_list& to, std::size_t limit, base::time_point now)
{
    const bool due = !link.complete_sent || now - *link.complete_sent >= repeat_interval;
    if (!link.requested || !link.scanned || !link.queues_empty() || link.answer_due || to.size() >= limit || !due)
    {
        return;
    }
    const auto detail = link.peer_nonce | (static_cast<std::uint32_t>(link.scan_set_hash) << 16);
    add_notice(to, notice_kind::complete, link.last_batch, static_cast<std::uint32_t>(link.scan_revision), detail);
    link.complete_sent = now;
}

std::vector<flow_record> peer_exchange::take_records(std::uint64_t host, std::size_t budget_bytes,
                                                     std::uint64_t revision, base::time_point now,
                                                     const std::function<bool(std::uint64_t, flow_record&)>& record_of)
{
    record_list records;
    const auto found = links_.find(short_host_id(host));
    const std::size_t limit = budget_bytes / flow_record::wire_size;
    if (found == links_.end() || limit == 0)
    {
        return records;
    }
    add_control(found->second, records, limit, revision, now);
    add_flows(found->second, records, limit, record_of);
    add_complete(found->second, records, limit, now);
    return records;
}

void peer_exchange::on_tick(base::time_point now)
{
    for (auto& [name, link] : links_)
    {
        if (link.left_at && now - *link.left_at >= departure_timeout)
        {
            link.left_at.reset();
        }
        const bool gap = link.live && link.complete && !link.received.has_all(link.complete->last_batch);
        if (!gap)
        {
            link.gap_since.reset();
        }
        else if (!link.gap_since)
        {
            link.gap_since = now;
        }
        else if (now - *link.gap_since >= loss_timeout)
        {
            start_request(link);
        }
    }
}

std::uint64_t peer_exchange::complete_revision() const
{
    auto least = std::numeric_limits<std::uint64_t>::max();
    for (const auto& [name, link] : links_)
    {
        if (link.live || link.left_at)
        {
            least = std::min(least, link.has_all(0) ? link.complete->revision : 0);
        }
    }
    return least;
}

bool peer_exchange::awaits_departed_peer(std::uint64_t revision) const
{
    return std::any_of(links_.begin(), links_.end(),
                       [&](const auto& entry) { return entry.second.left_at && !entry.second.has_all(revision); });
}

bool peer_exchange::complete_for_set() const
{
    return std::all_of(links_.begin(), links_.end(),
                       [&](const auto& entry)
                       {
                           const auto& link = entry.second;
                           return !link.live || (link.has_all(0) && link.complete->set_hash == set_hash_);
                       });
}

bool peer_exchange::has_required_answers(std::uint64_t revision) const
{
    return std::all_of(links_.begin(), links_.end(),
                       [&](const auto& entry)
                       {
                           const auto& link = entry.second;
                           return !link.live || !link.answer_required || (link.answered && link.revision <= revision);
                       });
}

} // namespace galenabay::flow
