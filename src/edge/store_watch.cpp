#include "store_watch.hpp"

#include <algorithm>
#include <utility>

namespace galenabay::edge
{

store_call store_watch::next() const
{
    return can_watch_ ? store_call{.what = store_call::kind::watch,
                                   .may_be_stale = false,
                                   .after = {},
                                   .revision = position_.number,
                                   .not_before = not_before_}
                      : store_call{.what = store_call::kind::list,
                                   .may_be_stale = may_be_stale_,
                                   .after = after_,
                                   .revision = 0,
                                   .not_before = not_before_};
}

bool store_watch::on_page(const steer::store_revision& read_at, const std::string& last_name, bool more,
                          base::time_point now)
{
    backoff_.reset();
    not_before_ = now;
    if (after_.empty())
    {
        position_ = read_at;
    }
    else if (read_at.epoch != position_.epoch)
    {
        restart(now);
        return false;
    }
    // The watch starts at the first page's revision and so returns changes that happened
    // while the later pages were read.
    position_ = std::min(position_, read_at);
    if (more && !last_name.empty() && last_name != after_)
    {
        ++pages_;
        listed_ = false;
        after_ = last_name;
        return false;
    }
    listed_ = true;
    can_watch_ = !std::exchange(may_be_stale_, false);
    after_.clear();
    pages_ = 0;
    return true;
}

bool store_watch::on_changes(const steer::store_revision& read_at, bool has_changes, base::time_point now,
                             bool has_unnamed)
{
    if (options_.list_after_changes && (has_changes || has_unnamed))
    {
        on_incomplete_changes(now);
        return false;
    }
    backoff_.reset();
    incomplete_.reset();
    if (read_at.epoch != position_.epoch)
    {
        restart(now);
        return false;
    }
    position_ = std::max(position_, read_at);
    not_before_ = has_changes ? now + options_.batch_pause : now;
    return true;
}

void store_watch::on_incomplete_changes(base::time_point now)
{
    backoff_.reset();
    restart(now + incomplete_.next(random_, options_.longest_retry));
}

void store_watch::on_failure(base::error_code code, base::time_point now)
{
    if (code == base::error_code::stale)
    {
        restart(now);
        return;
    }
    const auto next = now + backoff_.next(random_, options_.longest_retry);
    const bool is_unusable = code == base::error_code::malformed || code == base::error_code::out_of_range;
    if ((can_watch_ || is_endless()) && is_unusable)
    {
        const bool may_be_stale = may_be_stale_;
        restart(next);
        may_be_stale_ = may_be_stale;
        return;
    }
    not_before_ = next;
}

void store_watch::restart(base::time_point not_before)
{
    listed_ = false;
    can_watch_ = false;
    may_be_stale_ = false;
    after_.clear();
    pages_ = 0;
    not_before_ = not_before;
}

} // namespace galenabay::edge
