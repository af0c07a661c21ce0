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

/// What a sender has promised with a `complete` notice.
struct completed_scan
{
    std::uint64_t revision = 0;
    std::uint16_t set_hash = 0;
    std::uint32_t last_batch = 0;
};

/// A flow to tell a peer of, with its silence when it was queued.
struct queued_flow
{
    std::uint64_t key = 0;
    base::duration idle_time{};
};

/// State of the record exchange with one peer. Owned by `peer_exchange`.
struct peer_link
{
    // Received from the peer.
    /// Names this host's request; a new one asks for all records again.
    std::uint16_t own_nonce = 0;
    /// A batch that answers the request has arrived.
    bool answered = false;
    /// Decisions on unknown flows wait for the answer.
    bool answer_required = false;
    bool live = false;
    /// When the peer left the list of hosts; it may still send its records.
    std::optional<base::time_point> left_at;
    std::uint64_t revision = 0;
    batch_window received;
    std::optional<completed_scan> complete;
    /// Since when a batch before `complete` has been missing.
    std::optional<base::time_point> gap_since;

    // Sent to the peer.
    bool requested = false;
    std::uint16_t peer_nonce = 0;
    std::uint32_t last_batch = 0;
    std::deque<std::uint64_t> urgent;
    /// The flow seen last comes first.
    std::vector<queued_flow> bulk;
    std::size_t bulk_sent = 0;
    bool answer_due = false;
    std::size_t unhealthy_sent = 0;
    std::optional<base::time_point> complete_sent;
    std::optional<base::time_point> request_sent;
    /// What the records queued so far cover.
    std::uint64_t scan_revision = 0;
    std::uint16_t scan_set_hash = 0;
    bool scanned = false;

    bool has_all(std::uint64_t at_least) const
    {
        return complete && complete->revision >= at_least && received.has_all(complete->last_batch);
    }
    bool queues_empty() const { return urgent.empty() && bulk_sent == bulk.size(); }
};

} // namespace galenabay::flow
