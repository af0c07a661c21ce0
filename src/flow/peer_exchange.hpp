#pragma once

#include "peer_link.hpp"

#include <galenabay/flow/flow_record.hpp>
#include <galenabay/membership/host.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace galenabay::flow
{

/// A control record that is repeated to every peer for some seconds.
struct announcement
{
    notice_kind kind = notice_kind::changed;
    std::uint32_t subject = 0;
    std::uint32_t detail = 0;
    /// When that which is announced happened.
    base::time_point since{};
    base::time_point until{};
};

/// A peer that lacks a pass over the table, and what earlier passes covered.
struct scan_request
{
    std::uint64_t host = 0;
    /// 0: nothing was covered.
    std::uint64_t covered_revision = 0;
    std::uint16_t covered_set = 0;
};

/// Exchanges records with the other hosts within a byte budget and knows which
/// peers have told everything.
///
/// Each host asks each peer for its records (`request`). The peer numbers its
/// batches and ends with `complete`; a lost batch makes the host ask again.
/// Owned by one thread.
class peer_exchange
{
public:
    explicit peer_exchange(std::uint64_t seed) : seed_{seed} {}

    /// The hosts that take part, this host excluded.
    void set_peers(std::span<const membership::live_host> peers, std::uint16_t set_hash, base::time_point now);

    /// Asks every peer again and waits for the answers.
    void request_all_and_wait(base::time_point now);

    /// Asks every peer again, without waiting.
    void request_all();

    /// Repeats a notice to all peers for `announce_duration`.
    void announce(notice_kind kind, std::uint32_t subject, std::uint32_t detail, base::time_point since,
                  base::time_point now);

    /// Notices about unhealthy upstreams, for peers that ask for all records.
    void set_unhealthy(std::vector<announcement> list) { unhealthy_ = std::move(list); }

    /// Handles the notices that concern the exchange itself.
    void on_notice(const notice& value, base::time_point now);

    /// Queues a flow for a peer, by its host id.
    void queue_flow(std::uint64_t host, std::uint64_t key);

    /// True when `scan` has to be called: some peer lacks a pass over the table.
    bool scan_due(std::uint64_t revision) const;

    /// Starts a pass for every peer that lacks one and returns them by host id.
    std::vector<scan_request> start_scan(std::uint64_t revision);
    void queue_bulk(std::uint64_t host, queued_flow flow);
    /// Orders the queue of a peer after a scan.
    void end_scan(std::uint64_t host);

    /// Records for a peer. `record_of(key, record)` fills in a flow; false when
    /// the flow is no longer known.
    std::vector<flow_record> take_records(std::uint64_t host, std::size_t budget_bytes, std::uint64_t revision,
                                          base::time_point now,
                                          const std::function<bool(std::uint64_t, flow_record&)>& record_of);

    /// Asks again where batches were lost.
    void on_tick(base::time_point now);

    /// The newest revision up to which all peers, those that left a moment ago
    /// included, have told everything; maximum without peers.
    std::uint64_t complete_revision() const;
    /// A peer that left the list a moment ago may still be sending records of a
    /// revision.
    bool awaits_departed_peer(std::uint64_t revision) const;
    /// As above, and for the present set of hosts.
    bool complete_for_set() const;
    /// Every peer that must be heard has answered.
    bool has_required_answers(std::uint64_t revision) const;
    bool has_peers() const noexcept { return live_count_ > 0; }

    void set_self(std::uint64_t id) noexcept { self_ = static_cast<std::uint32_t>(id >> 32); }

private:
    using record_list = std::vector<flow_record>;

    static std::uint32_t short_host_id(std::uint64_t id) noexcept { return static_cast<std::uint32_t>(id >> 32); }
    void start_request(peer_link& link) noexcept;
    void on_request(peer_link& link, const notice& value);
    void add_notice(record_list& to, notice_kind kind, std::uint32_t number, std::uint32_t subject,
                    std::uint32_t detail) const;
    void add_control(peer_link& link, record_list& to, std::size_t limit, std::uint64_t revision, base::time_point now);
    void add_flows(peer_link& link, record_list& to, std::size_t limit,
                   const std::function<bool(std::uint64_t, flow_record&)>& record_of);
    void add_complete(peer_link& link, record_list& to, std::size_t limit, base::time_point now);

    std::uint64_t seed_;
    std::uint32_t self_ = 0;
    std::uint16_t set_hash_ = 0;
    std::uint16_t nonce_counter_ = 0;
    std::size_t live_count_ = 0;
    bool started_ = false;
    std::map<std::uint32_t, peer_link> links_;
    std::vector<announcement> announcements_;
    std::vector<announcement> unhealthy_;
};

} // namespace galenabay::flow
