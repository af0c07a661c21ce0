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

/// A control record that is sent to every peer, repeatedly for some seconds.
struct announcement
{
    notice_kind kind = notice_kind::changed;
    std::uint32_t subject = 0;
    std::uint32_t detail = 0;
    /// When the announced event happened.
    base::time_point since{};
    /// End of the repetition.
    base::time_point until{};
};

/// Order in which the records of flows are sent.
enum class record_urgency
{
    /// The flow was just placed, moved or refreshed.
    changed,
    /// A packet of the flow was searched for, and the next one is far away.
    found_slow,
    /// A packet of the flow was searched for.
    found,
};

/// A peer that needs a scan of the flow table, and what earlier scans covered.
struct scan_request
{
    /// The high 32 bits of the host's id; the low ones are 0.
    std::uint64_t host = 0;
    /// Revision of the last scan; 0: none.
    std::uint64_t covered_revision = 0;
    /// Hash of the set of hosts that the last scan covered.
    std::uint16_t covered_set = 0;
};

/// Exchanges records with the other hosts within a byte budget and tracks which
/// peers have sent all their records.
///
/// Each host requests the records of each peer (`request`). The peer numbers its
/// batches and ends with `complete`; after the loss of a batch the host sends a
/// new request. Owned by one thread.
class peer_exchange
{
public:
    explicit peer_exchange(std::uint64_t seed) : seed_{seed} {}

    /// Replaces the peers; `peers` does not contain this host. `set_hash` is the
    /// hash of the whole set of hosts.
    void set_peers(std::span<const membership::live_host> peers, std::uint16_t set_hash, base::time_point now);

    /// Requests the records of every peer again; `has_required_answers` is false
    /// until all have answered.
    void request_all_and_wait(base::time_point now);

    /// Requests the records of every peer again, without requiring the answers.
    void request_all();

    /// Repeats a notice to all peers for `announce_duration`.
    void announce(notice_kind kind, std::uint32_t subject, std::uint32_t detail, base::time_point since,
                  base::time_point now);

    /// Sets the notices about unhealthy upstreams that a peer receives once
    /// after its request.
    void set_unhealthy(std::vector<announcement> list) { unhealthy_ = std::move(list); }

    /// Handles the notices that control the exchange itself: `request`, `batch`
    /// and `complete`.
    void on_notice(const notice& value, base::time_point now);

    /// Queues a flow for the peer with this host id, ahead of scanned flows.
    void queue_flow(std::uint64_t host, std::uint64_t key, record_urgency urgency);

    /// Returns true when some peer needs a scan of the flow table, so that
    /// `start_scan` has to be called.
    bool scan_due(std::uint64_t revision) const;

    /// Starts a scan for every peer that needs one and returns those peers. The
    /// caller then calls `queue_bulk` for each flow and `end_scan` per peer.
    std::vector<scan_request> start_scan(std::uint64_t revision);
    /// Queues a flow that a scan found for the peer with this host id.
    void queue_bulk(std::uint64_t host, queued_flow flow);
    /// Sorts the queue of a peer by idle time after a scan.
    void end_scan(std::uint64_t host);

    /// Returns the next records for a peer and removes them from its queues.
    /// `record_of(key, record)` fills in a flow; it returns false when the flow
    /// is no longer in the table.
    std::vector<flow_record> take_records(std::uint64_t host, std::size_t budget_bytes, std::uint64_t revision,
                                          base::time_point now,
                                          const std::function<bool(std::uint64_t, flow_record&)>& record_of);

    /// Sends a new request to peers of which a batch was lost.
    void on_tick(base::time_point now);

    /// Returns the newest revision for which all peers, including those that
    /// left recently, have sent all records; the largest number without peers.
    std::uint64_t complete_revision() const;
    /// Returns true when a peer that left the list recently may still be
    /// sending records of this revision.
    bool awaits_departed_peer(std::uint64_t revision) const;
    /// Returns true when every peer has sent all records for the present set of
    /// hosts.
    bool complete_for_set() const;
    /// Returns true when every peer whose answer is required has answered and
    /// has no newer revision in force.
    bool has_required_answers(std::uint64_t revision) const;
    bool has_peers() const noexcept { return live_count_ > 0; }

    /// Sets the id of this host; notices carry its high 32 bits.
    void set_self(std::uint64_t id) noexcept { self_ = static_cast<std::uint32_t>(id >> 32); }

private:
    using record_list = std::vector<flow_record>;

    /// Returns the part of a host id that notices carry.
    static std::uint32_t short_host_id(std::uint64_t id) noexcept { return static_cast<std::uint32_t>(id >> 32); }
    void start_request(peer_link& link) noexcept;
    void on_request(peer_link& link, const notice& value);
    void add_notice(record_list& to, notice_kind kind, std::uint32_t number, std::uint32_t subject,
                    std::uint32_t detail) const;
    /// Adds the request to the peer and the notices that are due.
    void add_control(peer_link& link, record_list& to, std::size_t limit, std::uint64_t revision, base::time_point now);
    /// Adds a batch of flow records, the urgent ones first.
    void add_flows(peer_link& link, record_list& to, std::size_t limit,
                   const std::function<bool(std::uint64_t, flow_record&)>& record_of);
    /// Adds the `complete` notice when all records have been sent.
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
