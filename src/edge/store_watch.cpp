#include "store_watch.hpp"

#include <algorithm>

namespace galenabay::edge
{

store_call store_watch::next() const
{
    return {.what = listed_ ? store_call::kind::watch : store_call::kind::list,
            .may_be_stale = may_be_stale_,
            .after = after_,
            .revision = revision_,
            .not_before = not_before_};
}

bool store_watch::on_page(std::uint64_t revision, const std::string& last_name, bool more, base::time_point now)
{
    backoff_.reset();
    not_before_ = now;
    // The watch starts at the first page's revision and so returns changes that happened
    // while the later pages were read.
    list_revision_ = after_.empty() ? revision : std::min(list_revision_, revision);
    if (more && !last_name.empty() && last_name != after_)
    {
        after_ = last_name;
        return false;
    }
    listed_ = true;
    after_.clear();
    revision_ = list_revision_;
    return true;
}

void store_watch::on_changes(std::uint64_t revision, bool has_changes, base::time_point now)
{
    backoff_.reset();
    revision_ = std::max(revision_, revision);
    not_before_ = has_changes ? now + options_.batch_pause : now;
}

void store_watch::on_failure(base::error_code code, base::time_point now)
{
    if (code == base::error_code::stale)
    {
        listed_ = false;
        may_be_stale_ = false;
        after_.clear();
        not_before_ = now;
        return;
    }
    not_before_ = now + backoff_.next(random_, options_.longest_retry);
}

} // namespace galenabay::edge
