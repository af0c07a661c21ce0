#include <galenabay/peers/watch_takeover.hpp>

#include <algorithm>
#include <cstdint>

namespace galenabay::peers
{

bool watch_takeover::update(const watch_view& view, bool is_served, base::time_point now)
{
    started_ = started_.value_or(now);
    const bool is_watching = watches() && is_served;
    if (view.is_watched_before || (view.is_watched && !is_watching))
    {
        watched_since_.reset();
        next_check_.reset();
        is_turned_away_ = false;
        return false;
    }
    if (is_watching)
    {
        return true;
    }
    if (watches())
    {
        lose_watch(now);
    }
    if (!next_check_)
    {
        const auto turn = spacing(view) * static_cast<std::int64_t>(view.candidates_before);
        next_check_ = std::max(now, *started_ + options_.startup_wait) + turn;
    }
    return false;
}

void watch_takeover::lose_watch(base::time_point now)
{
    // The store may answer a check and not the calls of the watch.
    const bool is_lasting = now - *watched_since_ >= options_.window;
    next_check_ = now + (is_lasting ? options_.retry_pause : options_.window);
    watched_since_.reset();
    is_turned_away_ = true;
}

bool watch_takeover::take_check(base::time_point now)
{
    if (awaits_check_ || !next_check_ || now < *next_check_)
    {
        return false;
    }
    awaits_check_ = true;
    return true;
}

void watch_takeover::on_checked(bool is_served, base::time_point now)
{
    awaits_check_ = false;
    if (!next_check_)
    {
        return;
    }
    is_turned_away_ = !is_served;
    if (is_served)
    {
        watched_since_ = watched_since_.value_or(now);
        next_check_ = now + options_.check_interval;
        return;
    }
    if (watches())
    {
        lose_watch(now);
        return;
    }
    // Counted from the last turn, so that the hosts stay spread over the window.
    next_check_ = std::max(*next_check_ + options_.window, now);
}

base::duration watch_takeover::spacing(const watch_view& view) const
{
    return options_.window / static_cast<std::int64_t>(view.others + 1);
}

} // namespace galenabay::peers
