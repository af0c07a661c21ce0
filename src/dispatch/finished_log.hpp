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

/// What the caller was told about a request that has ended here.
using final_reply = std::variant<deliver, refuse>;

/// Requests that have ended here, for their retransmissions.
///
/// The reply is kept for the time in which a caller may retransmit and within a
/// bound of bytes, oldest dropped first; the key longer, so that it doesn't run
/// again.
class finished_log
{
public:
    /// `reply_retention`: how long replies are kept. `key_retention`: how long keys are.
    finished_log(base::duration reply_retention, base::duration key_retention);

    void add(request_key key, const final_reply& reply, base::time_point now);

    bool contains(request_key key) const { return entries_.contains(key); }

    /// The reply, when it is still kept.
    std::optional<final_reply> reply(request_key key) const;

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
