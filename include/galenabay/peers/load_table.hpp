#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/peers/load_sums.hpp>

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace galenabay::peers
{

using load_totals = std::unordered_map<steer::upstream_token, upstream_load>;

/// Adds a load that was reported `age` ago to the totals.
void add_load(load_totals& totals, const upstream_load& load, base::duration age);

/// Loads by upstream, put together from pages that arrive one at a time. Each row carries
/// its age, so that a row that is no longer refreshed is not used. Not thread-safe; owned by
/// the `fleet_exchange`.
class load_table
{
public:
    /// Replaces the rows of the page's range.
    void apply(const load_page& page, base::time_point now);
    /// Adds the rows that were applied within `lifetime` to `totals`.
    void add_to(load_totals& totals, base::time_point now, base::duration lifetime) const;
    void clear() { rows_.clear(); }

private:
    struct row
    {
        upstream_load load;
        base::time_point applied_at{};
    };

    /// Ordered by token.
    std::vector<row> rows_;
};

/// Splits totals into pages, one per call, and starts again after the last one.
class page_cursor
{
public:
    /// Returns the page that follows the previous one, with at most `max_loads` loads.
    load_page next(const load_totals& totals, std::size_t max_loads);

private:
    steer::upstream_token first_ = 0;
};

} // namespace galenabay::peers
