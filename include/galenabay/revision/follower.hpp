#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/config/accepted_revision.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace galenabay::revision
{

/// Read the newest revision from the platform: wait until the platform holds
/// another revision than number `after`, at most `wait`.
struct fetch_from_platform
{
    std::uint64_t after = 0;
    /// 0: answer at once, whatever the platform holds.
    base::duration wait{0};
};

/// Read the newest revision from a peer that has a newer one.
struct fetch_from_peer
{
    std::string host;
    std::uint64_t after = 0;
};

/// Put the revision `follower::current()` in force.
struct adopt
{
    std::uint64_t number = 0;
};

/// Raise an alarm that an operator has to investigate: `source` offered a
/// revision older than the one in force, or other content under the same number.
struct raise_alarm
{
    std::string source;
    std::uint64_t offered = 0;
    std::uint64_t in_force = 0;
};

using action = std::variant<fetch_from_platform, fetch_from_peer, adopt, raise_alarm>;
using actions = std::vector<action>;

/// Settings of a `follower`, fixed at its construction.
struct follower_settings
{
    std::uint64_t seed = 1;
    /// Longest backoff between two fetches from a source that fails.
    base::duration max_backoff{10'000'000};
    /// A fetch without an answer after this long has failed.
    base::duration fetch_timeout{60'000'000};
    /// Mean wait of a watch; each one is jittered by up to a fifth.
    base::duration watch_wait{25'000'000};
    /// Time between two reads by a host that does not watch the platform.
    base::duration poll_interval{60'000'000};
    /// When a peer has not answered for this long, the revision is fetched
    /// from a second one too.
    base::duration peer_hedge_delay{300'000};
    /// Longest time to wait for the platform after a peer has reported a newer
    /// number, before the revision is fetched from the peer.
    base::duration peer_fetch_delay{200'000};
};

/// Selects the revision in force among those that the platform and the peers
/// offer; never returns to an older one.
///
/// Pure decision logic: its inputs are events, the time and a seed, its output is
/// a list of actions. Used by one thread only.
class follower
{
public:
    explicit follower(follower_settings settings);
    follower(follower&&) noexcept;
    follower& operator=(follower&&) noexcept;
    ~follower();

    /// Returns the revision in force; null until one has been adopted.
    const config::accepted_revision* current() const noexcept;

    /// Handles a full revision read from the platform. Two answers in a row that are
    /// older than the revision in force raise an alarm; one may be a stale read.
    actions on_platform_revision(const config::accepted_revision& offered, base::time_point now);
    /// Handles the end of a watch without a change.
    actions on_platform_unchanged(base::time_point now);
    /// Handles a failed read of the platform.
    actions on_platform_failure(base::time_point now);

    /// Handles the revision number that a peer reported in a heartbeat.
    actions on_peer_number(const std::string& host, std::uint64_t number, base::time_point now);
    /// Handles the answer of a peer to `fetch_from_peer`.
    actions on_peer_revision(const std::string& host, const config::accepted_revision& offered, base::time_point now);
    /// Handles a failed fetch from a peer.
    actions on_peer_failure(const std::string& host, base::time_point now);

    /// Sets whether this host watches the platform or relies on peers that do;
    /// true at first. Without a peer that reaches the platform it watches anyway.
    void set_watching(bool watches) noexcept;
    /// Records whether a peer reaches the platform, as it reported in a heartbeat.
    void on_peer_reachability(const std::string& host, bool platform_reachable, base::time_point now);

    /// Starts the fetches that are due and fails those that timed out. Call at
    /// least every 100 ms.
    actions on_tick(base::time_point now);

    /// Returns true when the last exchange with the platform succeeded.
    bool platform_reachable() const noexcept;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace galenabay::revision
