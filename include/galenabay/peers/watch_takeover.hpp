#pragma once

#include <galenabay/base/time.hpp>

#include <compare>
#include <cstddef>
#include <optional>

namespace galenabay::peers
{

/// Times of a `watch_takeover`.
struct takeover_options
{
    /// Interval at which the host that watches the store checks whether it is served: a waiting watch of a store that
    /// has become silent shows nothing before its timeout.
    base::duration check_interval = std::chrono::milliseconds{500};
    /// Time within which every host of a data centre without a watcher checks once whether the store serves it.
    base::duration window = std::chrono::milliseconds{1'000};
    /// Time after its start before which a host does not check: longer than the interval of statuses and the answer of
    /// a host that it joins through, so that it has received the status of a watcher if there is one.
    base::duration startup_wait = std::chrono::milliseconds{1'000};
    /// Pause before a host that has just lost the watch checks again. The first of the others checks at once.
    base::duration retry_pause = std::chrono::milliseconds{150};
};

/// What a host knows of the other hosts of its data centre that are live and not leaving. Plain value.
struct watch_view
{
    /// Number of the hosts.
    std::size_t others = 0;
    /// Number of those that rank before this one and do not report that the store turned them away.
    std::size_t candidates_before = 0;
    /// One of them watches the store.
    bool is_watched = false;
    /// One that ranks before this one watches the store.
    bool is_watched_before = false;

    friend auto operator<=>(const watch_view&, const watch_view&) = default;
};

/// Decides whether a host watches the store for its data centre. Does no I/O; not thread-safe; owned by the
/// `peer_view`.
///
/// The store may turn away any of the hosts. While no host watches it, each one checks once per window whether
/// it is served, at a time that follows from its rank, and the first one that is served watches. So whichever hosts are
/// turned away, one that is not finds out within a window, at the cost of one call per host and window.
class watch_takeover
{
public:
    explicit watch_takeover(takeover_options options) : options_{options} {}

    /// Updates the decision; call it several times per window. `is_served`: the last calls of this host's watch
    /// succeeded. Returns true when this host is to watch the store.
    bool update(const watch_view& view, bool is_served, base::time_point now);
    /// Returns true when this host is to check now whether the store serves it; record the result with `on_checked`.
    bool take_check(base::time_point now);
    /// Records a check. A host that is served watches, unless another one does by now; one that is not loses the watch.
    void on_checked(bool is_served, base::time_point now);

    bool watches() const noexcept { return watched_since_.has_value(); }
    /// Returns true when the store turned away the last call of this host, and no other host watches the store.
    bool is_turned_away() const noexcept { return is_turned_away_; }

private:
    /// Ends the watch of this host, which the store has turned away.
    void lose_watch(base::time_point now);
    /// Returns the time between the checks of two hosts with adjacent ranks.
    base::duration spacing(const watch_view& view) const;

    takeover_options options_;
    std::optional<base::time_point> started_;
    /// When this host began to watch the store; empty when it does not.
    std::optional<base::time_point> watched_since_;
    /// When this host checks next; empty while another host watches.
    std::optional<base::time_point> next_check_;
    bool awaits_check_ = false;
    bool is_turned_away_ = false;
};

} // namespace galenabay::peers
