#include <galenabay/peers/load_table.hpp>

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace galenabay::peers
{

void add_load(load_totals& totals, const upstream_load& load, base::duration age)
{
    const auto answered_ago = load.answered_ago + std::chrono::duration_cast<std::chrono::milliseconds>(age);
    const auto [row, is_first] = totals.try_emplace(load.token);
    auto& total = row->second;
    total.token = load.token;
    total.answered_ago = is_first ? answered_ago : std::min(total.answered_ago, answered_ago);
    total.flows += load.flows;
    total.open_requests += load.open_requests;
    total.answer_times += load.answer_times.faded(age);
}

void load_table::apply(const load_page& page, base::time_point now)
{
    const auto is_before = [](const row& one, steer::upstream_token token) { return one.load.token < token; };
    const auto begin = std::lower_bound(rows_.begin(), rows_.end(), page.first, is_before);
    const auto end = std::find_if(begin, rows_.end(), [&](const row& one) { return one.load.token > page.last; });
    std::vector<row> replaced{rows_.begin(), begin};
    replaced.reserve(rows_.size() + page.loads.size());
    for (const auto& load : page.loads)
    {
        // Another host's page may be out of order; a row outside the range would break it here.
        const bool is_next = replaced.empty() || replaced.back().load.token < load.token;
        if (is_next && load.token >= page.first && load.token <= page.last)
        {
            replaced.push_back({.load = load, .applied_at = now});
        }
    }
    replaced.insert(replaced.end(), end, rows_.end());
    rows_ = std::move(replaced);
}

void load_table::add_to(load_totals& totals, base::time_point now, base::duration lifetime) const
{
    for (const auto& known : rows_)
    {
        if (const auto age = now - known.applied_at; age < lifetime)
        {
            add_load(totals, known.load, age);
        }
    }
}

load_page page_cursor::next(const load_totals& totals, std::size_t max_loads)
{
    load_page page{.first = first_, .last = std::numeric_limits<steer::upstream_token>::max(), .loads = {}};
    for (const auto& [token, load] : totals)
    {
        if (token >= first_)
        {
            page.loads.push_back(load);
        }
    }
    std::sort(page.loads.begin(), page.loads.end(),
              [](const upstream_load& a, const upstream_load& b) { return a.token < b.token; });
    first_ = 0;
    if (page.loads.size() > max_loads)
    {
        first_ = page.loads[max_loads].token;
        page.last = first_ - 1;
        page.loads.resize(max_loads);
    }
    return page;
}

} // namespace galenabay::peers
