#pragma once

#include <galenabay/base/time.hpp>

#include <algorithm>

namespace galenabay::peers
{

/// Times of a message that is sent at intervals and may be sent early. The intervals after an early message are
/// longer until as many messages were sent as without it. Not thread-safe.
class message_schedule
{
public:
    base::time_point next() const noexcept { return next_; }
    bool is_due(base::time_point now) const { return now >= next_; }
    /// Makes the message due, in addition to the regular ones.
    void make_due(base::time_point now) { next_ = now; }

    /// Returns true when the last early message was `pause` ago, and the intervals have made up for it.
    bool can_advance(base::duration pause, base::time_point now) const
    {
        return owed_ <= base::duration{0} && (advanced_at_ == base::time_point{} || now - advanced_at_ >= pause);
    }
    /// Makes the next message due at `when` unless it is due before.
    void advance(base::time_point when, base::time_point now)
    {
        advanced_at_ = now;
        if (when < next_)
        {
            owed_ += next_ - when;
            next_ = when;
        }
    }
    /// Records that the message was sent. `interval`: to the next one, without that for an early message.
    void on_sent(base::duration interval, base::time_point now)
    {
        const auto added = std::min(owed_, interval / largest_part);
        owed_ -= added;
        next_ = now + interval + added;
    }

private:
    /// An interval grows by a quarter at most, so that messages are not taken for lost.
    static constexpr int largest_part = 4;

    base::time_point next_{};
    base::time_point advanced_at_{};
    /// Time by which the messages are ahead of the regular ones.
    base::duration owed_{0};
};

} // namespace galenabay::peers
