#pragma once

#include "batch_window.hpp"
#include "record_codec.hpp"

#include <galenabay/base/time.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace galenabay::flow
{

/// Contents of a `complete` notice: with batches up to `last_batch` the sender
/// has sent all records of this revision and set of hosts.
struct completed_scan
{
    std::uint64_t revision = 0;
    std::uint16_t set_hash = 0;
    std::uint32_t last_batch = 0;
};

/// A flow whose record is queued for a peer, with its idle time when it was
/// queued.
struct queued_flow
{
    std::uint64_t key = 0;
    base::duration idle_time{};
    /// Sent after all others.
    bool optional = false;
};

/// State of the record exchange with one peer. Owned by `peer_exchange`.
struct peer_link
{
    // Received from the peer.
    /// Identifies this host's request; a new nonce requests all records again.
    std::uint16_t own_nonce = 0;
    /// A batch or `complete` notice that answers the request has arrived.
    bool answered = false;
    /// Decisions on unknown flows wait for the answer.
    bool answer_required = false;
    /// The peer is in the list of hosts.
    bool live = false;
    /// When the peer left the list of hosts; it may still send its records.
    std::optional<base::time_point> left_at;
    /// Newest revision known to be in force at the peer.
    std::uint64_t revision = 0;
    batch_window received;
    std::optional<completed_scan> complete;
    /// Time since which a batch before `complete` has been missing.
    std::optional<base::time_point> gap_since;

    // Sent to the peer.
    /// The peer has requested this host's records.
    bool requested = false;
    /// Identifies the peer's request.
    std::uint16_t peer_nonce = 0;
    std::uint32_t last_batch = 0;
    /// Keys of flows that were just placed, moved or refreshed; sent before `bulk`.
    std::deque<std::uint64_t> urgent;
    /// Keys of flows whose packets were searched for; sent after `urgent`.
    std::deque<std::uint64_t> found;
    /// Flows found by a scan of the table, shortest idle time first.
    std::vector<queued_flow> bulk;
    std::size_t bulk_sent = 0;
    /// The request is answered by a batch even when there are no records.
    bool answer_due = false;
    /// Number of notices about unhealthy upstreams already sent.
    std::size_t unhealthy_sent = 0;
    std::optional<base::time_point> complete_sent;
    std::optional<base::time_point> request_sent;
    /// Revision and set of hosts that the last scan for the peer covered.
    std::uint64_t scan_revision = 0;
    std::uint16_t scan_set_hash = 0;
    bool scanned = false;

    /// Returns true when the peer has sent all records of revision `at_least`
    /// or a later one.
    bool has_all(std::uint64_t at_least) const
    {
        return complete && complete->revision >= at_least && received.has_all(complete->last_batch);
    }
    bool queues_empty() const { return urgent.empty() && found.empty() && bulk_sent == bulk.size(); }
};

} // namespace galenabay::flow
