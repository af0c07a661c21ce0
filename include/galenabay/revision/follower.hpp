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

/// Put `follower::current()` in force.
struct adopt
{
    std::uint64_t number = 0;
};

/// A source offered something older than what is in force, or other content
/// under the same number; an operator has to look.
struct raise_alarm
{
    std::string source;
    std::uint64_t offered = 0;
    std::uint64_t in_force = 0;
};

using action = std::variant<fetch_from_platform, fetch_from_peer, adopt, raise_alarm>;
using actions = std::vector<action>;

struct follower_settings
{
    std::uint64_t seed = 1;
    /// Longest pause between two tries of a source that fails.
    base::duration max_backoff{10'000'000};
    /// A fetch without an answer after this long has failed.
    base::duration fetch_timeout{60'000'000};
    /// Mean wait of a watch; each one is jittered by a fifth.
    base::duration watch_wait{25'000'000};
    /// Time between two reads by a host that does not watch the platform.
    base::duration poll_interval{60'000'000};
    /// A peer that has not answered for this long is joined by a second one.
    base::duration peer_hedge_delay{300'000};
    /// Longest time that a newer number heard from a peer waits for the platform
    /// before it is fetched from the peer.
    base::duration peer_fetch_delay{200'000};
};

/// Learns which revision is in force, from the platform and from peers; never
/// goes back to an older one.
///
/// Pure decision logic: time and seed come in, actions go out. Owned by one
/// thread.
class follower
{
public:
    explicit follower(follower_settings settings);
    follower(follower&&) noexcept;
    follower& operator=(follower&&) noexcept;
    ~follower();

    /// The revision in force; null until one is known.
    const config::accepted_revision* current() const noexcept;

    /// A whole revision read from the platform. Two answers in a row that are
    /// older than the revision in force raise an alarm; one may be a stale read.
    actions on_platform_revision(const config::accepted_revision& offered, base::time_point now);
    /// The watch ended without news.
    actions on_platform_unchanged(base::time_point now);
    /// The platform could not be read.
    actions on_platform_failure(base::time_point now);

    /// Number that a peer reported in a heartbeat.
    actions on_peer_number(const std::string& host, std::uint64_t number, base::time_point now);
    actions on_peer_revision(const std::string& host, const config::accepted_revision& offered, base::time_point now);
    actions on_peer_failure(const std::string& host, base::time_point now);

    /// Whether this host watches the platform or relies on peers that do; true
    /// at first. A host that hears nobody who reaches the platform watches anyway.
    void set_watching(bool watches) noexcept;
    /// Whether a peer reaches the platform, as it reported in a heartbeat.
    void on_peer_reachability(const std::string& host, bool platform_reachable, base::time_point now);

    /// Call at least every 100 ms.
    actions on_tick(base::time_point now);

    /// True when the last exchange with the platform succeeded.
    bool platform_reachable() const noexcept;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace galenabay::revision
