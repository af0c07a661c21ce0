#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/steer/packet_header.hpp>
#include <galenabay/steer/upstream_entry.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace galenabay::steer
{

/// Relapses of upstreams by service and address: an incarnation that ended without draining was
/// followed by another one soon after.
///
/// An upstream that failed under load returns without flows, so that selection by load gives it
/// more new flows than the others and it fails again. The load that selection assumes for it rises
/// with each relapse, which ends that cycle. Does no I/O; not thread-safe; owned by the `steerer`.
class restart_history
{
public:
    struct options
    {
        /// Longest time between an end and the next start that makes a relapse, and time without
        /// another one after which the history is cleared. 0: no history is kept.
        base::duration window = std::chrono::seconds{30};
        /// Part of that time after which the assumed load begins to fall. It falls gradually: at a
        /// sudden end all hosts would send the missing flows at once.
        double held_part = 0.5;
        /// Relapses that count; more do not change the load any more.
        std::uint32_t max_relapses = 3;
    };

    restart_history() : restart_history{options{}} {}
    explicit restart_history(options bounds) : options_{bounds} {}

    /// Records that the store lists an incarnation. Returns the number of relapses when this is
    /// one, 0 otherwise.
    std::uint32_t on_listed(const upstream_entry& entry, base::time_point now);
    /// Records that the store no longer lists an incarnation, or that it has ended.
    void on_gone(const upstream_entry& entry, base::time_point now);
    /// Forgets upstreams whose history has no effect any more; does so at most once in a window.
    void expire(base::time_point now);
    /// Returns true when a factor may differ from 1, or has within the last seconds.
    bool has_effect(base::time_point now) const;

    /// Returns the factor by which selection multiplies the load of an upstream: 1 without relapses,
    /// 2 to the power of their number after them.
    double load_factor(const upstream_entry& entry, base::time_point now) const;
    /// Returns the factor by which the rate of new flows to the upstream is multiplied while it is
    /// starting: 1 without relapses, halved by each.
    double rate_factor(const upstream_entry& entry, base::time_point now) const;
    /// Number of upstreams that are known here.
    std::size_t size() const noexcept { return rows_.size(); }

private:
    using key = std::pair<std::string, base::endpoint>;

    struct row
    {
        /// Latest incarnation.
        upstream_token token = 0;
        bool draining = false;
        /// When it was first known to be gone; empty while it is listed.
        std::optional<base::time_point> gone_since;
        std::uint32_t relapses = 0;
        base::time_point relapsed_at{};
    };

    static key key_of(const upstream_entry& entry) { return {entry.service, entry.address}; }
    /// Returns the relapses that still count; 0 for an unknown upstream.
    std::uint32_t relapses_of(const row& known, base::time_point now) const;
    const row* find(const upstream_entry& entry) const;

    options options_;
    std::map<key, row> rows_;
    std::optional<base::time_point> last_relapse_;
    base::time_point expired_at_{};
};

} // namespace galenabay::steer
