#pragma once

#include <galenabay/base/backoff.hpp>
#include <galenabay/base/error.hpp>
#include <galenabay/base/random.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/steer/store_revision.hpp>

#include <cstdint>
#include <string>

namespace galenabay::edge
{

/// Longest wait for a connection to the store, and for an answer; a watch adds the time
/// that it waits at the store. Many times the store's response time of 4 ms, and together
/// with `watch_wait` below the configuration bound.
constexpr std::chrono::milliseconds store_answer_timeout{1'000};

/// Largest number of pages of a list; a page may end after each damaged object. A longer list is
/// taken for a fault of the store.
constexpr int max_list_pages = 20'000;

/// Times and pauses of following one kind of objects.
struct store_watch_options
{
    /// Longest time that a watch waits at the store. With the answer timeout, it is the time
    /// until a silent connection is detected; the sum stays below the 3 s within which a
    /// configuration must be in force.
    base::duration watch_wait = std::chrono::milliseconds{1'500};
    /// Pause after changes have arrived, so that a series of them takes fewer calls.
    base::duration batch_pause = std::chrono::milliseconds{400};
    /// The first list may be stale. Not so for objects whose late arrival is not made up for by
    /// what other hosts send.
    bool first_list_may_be_stale = true;
    /// A list is read after changes instead of their use: it is a complete set as of one revision, in which removals
    /// need no revisions of their own.
    bool list_after_changes = false;
    /// First and longest pause after a failed call.
    base::duration first_retry = std::chrono::milliseconds{100};
    base::duration longest_retry = std::chrono::milliseconds{1'000};
};

/// Next call to make to the store. Plain value.
struct store_call
{
    enum class kind
    {
        list,
        watch,
    };

    kind what = kind::list;
    /// List: the answer may be seconds old.
    bool may_be_stale = false;
    /// List: the page after this name.
    std::string after;
    /// Watch: changes after this revision.
    std::uint64_t revision = 0;
    /// Not before this time.
    base::time_point not_before{};
};

/// Decides the calls that read and follow one kind of objects: a complete list first, then
/// watches from its revision, and a new list when the store no longer has the history since
/// then or answers in another epoch, in which the revision means something else. The first
/// list may be stale so that a start costs little; it may be from an earlier epoch, so that a
/// second, current list precedes the first watch. Does no I/O; not thread-safe.
class store_watch
{
public:
    store_watch(store_watch_options options, std::uint64_t seed)
        : options_{options}, random_{seed}, backoff_{options.first_retry}, incomplete_{options.batch_pause},
          may_be_stale_{options.first_list_may_be_stale}
    {
    }

    /// Returns the next call, which stays the same until its result is recorded.
    store_call next() const;

    /// Records a page of the list, which shows the store at `read_at` or later. Returns true
    /// when the list is complete.
    bool on_page(const steer::store_revision& read_at, const std::string& last_name, bool more, base::time_point now);
    /// Records the answer to a watch. `has_unnamed`: it has changes of objects without a readable name. Returns false
    /// when it must not be used, because changes may be missing from it or a list follows.
    bool on_changes(const steer::store_revision& read_at, bool has_changes, base::time_point now,
                    bool has_unnamed = false);
    /// Records an answer to a watch whose changes cannot all be read: a new list shows them.
    void on_incomplete_changes(base::time_point now);
    /// Records a failed call. After `stale` a new list begins at once, and after an answer to a
    /// watch that cannot be used, or an endless list, with the next attempt, since the same call
    /// gets it again.
    void on_failure(base::error_code code, base::time_point now);

    /// Returns true when a complete list has been read, so that no call is due unless this
    /// host follows the store.
    bool has_list() const noexcept { return listed_; }
    /// Returns true when the latest complete list was not stale.
    bool has_current_list() const noexcept { return can_watch_; }
    /// Returns true when the list has had so many pages that it is not to be continued.
    bool is_endless() const noexcept { return pages_ >= max_list_pages; }
    /// Revision of the last complete list or of the last answer to a watch.
    const steer::store_revision& position() const noexcept { return position_; }
    /// Number of calls that failed since the last answer.
    int failures() const noexcept { return backoff_.failures(); }

private:
    /// Begins a new list, not before this time.
    void restart(base::time_point not_before);

    store_watch_options options_;
    base::random_source random_;
    base::backoff backoff_;
    /// Pauses after answers with changes that cannot all be read.
    base::backoff incomplete_;
    bool listed_ = false;
    bool may_be_stale_;
    /// The list was current, so that a watch can continue from it.
    bool can_watch_ = false;
    steer::store_revision position_;
    std::string after_;
    /// Number of pages of the list before the next one.
    int pages_ = 0;
    base::time_point not_before_{};
};

} // namespace galenabay::edge
