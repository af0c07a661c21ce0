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

/// Identity of a feed: caller and token.
struct feed_key
{
    base::endpoint caller;
    std::uint64_t token = 0;
    std::uint8_t token_length = 0;

    friend auto operator<=>(const feed_key&, const feed_key&) = default;
};

/// One observer (RFC 7641).
struct feed
{
    origin from;
    /// Identity of the registration; a caller notices when it changes.
    std::uint64_t registration = 0;
    std::uint32_t sequence = 0;
    base::time_point due;
    /// First confirmable notification since the caller was last heard; the epoch
    /// when none waits for an acknowledgement.
    base::time_point unacknowledged_since;
    std::uint16_t last_message_id = 0;
};

/// The feeds that one upstream serves. Owned by one thread.
class feed_table
{
public:
    feed_table(std::size_t capacity, base::duration interval) : capacity_{capacity}, interval_{interval} {}

    /// Registers, or renews; null when full.
    feed* add(const feed_key& key, const origin& from, base::time_point now);
    void remove(const feed_key& key);
    /// A packet of this caller came by way of `sender`: its feeds answer there.
    void on_caller_packet(const base::endpoint& caller, const base::endpoint& sender);
    void on_acknowledgement(const base::endpoint& caller);
    /// A reset of a notification ends its feed.
    void on_reset(const base::endpoint& caller, std::uint16_t message_id);
    /// Keys of the feeds whose next notification is due; each is due again one
    /// interval later.
    std::vector<feed_key> take_due(base::time_point now);
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
