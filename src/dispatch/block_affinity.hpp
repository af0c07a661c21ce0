#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/config/service_set.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace galenabay::dispatch
{

/// Which upstream served the first block of an answer, so that the other
/// blocks come from the same one.
class block_affinity
{
public:
    /// `retention`: how long an upstream is remembered. `active_span`: longest
    /// time between two blocks of a transfer.
    block_affinity(base::duration retention, base::duration active_span)
        : retention_{retention}, active_span_{active_span}
    {
    }

    /// `transfer`: hash of caller, service and path. When another upstream has
    /// served a first block shortly before, two transfers may be under way: no
    /// upstream is remembered, and later blocks can't be served.
    void record(std::uint64_t transfer, config::upstream_id upstream, base::time_point now);
    std::optional<config::upstream_id> find(std::uint64_t transfer) const;

    /// A request for a later block was seen.
    void on_later_block(std::uint64_t transfer, base::time_point now);
    /// The upstream from which another first block should come, if any: that of
    /// a transfer that may be under way.
    std::optional<config::upstream_id> preferred(std::uint64_t transfer, base::time_point now) const;
    /// True while later blocks are being asked for.
    bool is_active(std::uint64_t transfer, base::time_point now) const;

    /// Forgets everything: another host may have served blocks meanwhile.
    void clear();

    void on_tick(base::time_point now);

private:
    struct entry
    {
        config::upstream_id upstream = 0;
        base::time_point last_used{};
        std::optional<base::time_point> later_block_at;
    };
    struct timestamped_transfer
    {
        std::uint64_t transfer = 0;
        base::time_point at{};
    };

    base::duration retention_;
    base::duration active_span_;
    std::unordered_map<std::uint64_t, entry> entries_;
    std::deque<timestamped_transfer> order_;
};

} // namespace galenabay::dispatch
