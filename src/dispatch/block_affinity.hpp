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

/// Records which upstream served the first block of an answer (RFC 7959), so
/// that later blocks are requested from the same one.
class block_affinity
{
public:
    /// `retention`: time for which an upstream is kept. `active_span`: longest time
    /// between two blocks of a transfer.
    block_affinity(base::duration retention, base::duration active_span)
        : retention_{retention}, active_span_{active_span}
    {
    }

    /// Records the upstream that served a first block. `transfer`: hash of caller,
    /// service and path. When another upstream served a first block less than
    /// `active_span` ago, two transfers may be in progress: no upstream is kept,
    /// and later blocks can't be served.
    void record(std::uint64_t transfer, config::upstream_id upstream, base::time_point now);
    /// Returns the recorded upstream, if any.
    std::optional<config::upstream_id> find(std::uint64_t transfer) const;

    /// Records that a request for a later block arrived.
    void on_later_block(std::uint64_t transfer, base::time_point now);
    /// Returns the upstream that should serve another first block, if any: that
    /// of a transfer that may be in progress.
    std::optional<config::upstream_id> preferred(std::uint64_t transfer, base::time_point now) const;
    /// Returns true when a later block was requested less than `active_span` ago.
    bool is_active(std::uint64_t transfer, base::time_point now) const;

    /// Erases all entries. Needed when another host may have served blocks in the
    /// meantime.
    void clear();

    /// Erases expired entries, and the oldest ones when there are too many.
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
