#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/dispatch/action.hpp>
#include <galenabay/dispatch/request.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <variant>

namespace galenabay::dispatch
{

/// The last reply to the caller of a request that has ended here.
using final_reply = std::variant<deliver, refuse>;

/// The requests that have ended at this host, kept to reply to retransmissions.
///
/// Replies are kept for the time in which a caller may retransmit and within a
/// limit of bytes, the oldest evicted first; keys are kept longer, so that the
/// request doesn't run again.
class finished_log
{
public:
    /// `reply_retention`: time for which replies are kept. `key_retention`: the same
    /// for keys.
    finished_log(base::duration reply_retention, base::duration key_retention);

    /// Records the reply of a finished request; does nothing when the key is
    /// already recorded.
    void add(request_key key, const final_reply& reply, base::time_point now);

    bool contains(request_key key) const { return entries_.contains(key); }

    /// Returns the reply, if it is still kept.
    std::optional<final_reply> reply(request_key key) const;

    /// Erases expired replies and keys, and the oldest keys when there are too
    /// many.
    void on_tick(base::time_point now);

    std::size_t size() const noexcept { return entries_.size(); }

private:
    struct timestamped_key
    {
        request_key key = 0;
        base::time_point added{};
    };

    void drop_oldest_reply();

    base::duration reply_retention_;
    base::duration key_retention_;
    std::unordered_map<request_key, std::optional<final_reply>> entries_;
    std::deque<timestamped_key> with_reply_;
    std::deque<timestamped_key> without_reply_;
    std::size_t reply_bytes_ = 0;
};

} // namespace galenabay::dispatch
