#pragma once

#include "run_queue.hpp"

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/time.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace galenabay::stand_in
{

/// Identifies a feed by caller and token.
struct feed_key
{
    base::endpoint caller;
    std::uint64_t token = 0;
    std::uint8_t token_length = 0;

    friend auto operator<=>(const feed_key&, const feed_key&) = default;
};

/// An observer registered by a caller (RFC 7641).
struct feed
{
    origin from;
    /// Identifies the registration, so that a caller can detect a new one.
    std::uint64_t registration = 0;
    std::uint32_t sequence = 0;
    base::time_point due;
    /// Time of the first confirmable notification since the caller's last acknowledgement
    /// or renewal; the epoch if none is unacknowledged.
    base::time_point unacknowledged_since;
    std::uint16_t last_message_id = 0;
};

/// The feeds that one upstream serves. Owned by one thread.
class feed_table
{
public:
    feed_table(std::size_t capacity, base::duration interval) : capacity_{capacity}, interval_{interval} {}

    /// Registers or renews a feed; returns null if the table is full.
    feed* add(const feed_key& key, const origin& from, base::time_point now);
    void remove(const feed_key& key);
    /// Sends the notifications of a caller's feeds to `sender`, which forwarded its last
    /// packet.
    void on_caller_packet(const base::endpoint& caller, const base::endpoint& sender);
    /// Clears the unacknowledged notifications of a caller's feeds.
    void on_acknowledgement(const base::endpoint& caller);
    /// Removes the feed whose last notification had this message id.
    void on_reset(const base::endpoint& caller, std::uint16_t message_id);
    /// Returns the feeds whose next notification is due and schedules the one after it
    /// an interval later.
    std::vector<feed_key> take_due(base::time_point now);
    /// Returns null if there is no such feed.
    feed* find(const feed_key& key);
    void clear();
    std::size_t size() const noexcept { return feeds_.size(); }

private:
    std::size_t capacity_;
    base::duration interval_;
    std::uint64_t last_registration_ = 0;
    std::map<feed_key, feed> feeds_;
    std::multimap<base::time_point, feed_key> schedule_;
};

} // namespace galenabay::stand_in
