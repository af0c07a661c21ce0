#include <galenabay/steer/answer_time_report.hpp>

#include "relative_answer_times.hpp"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <tuple>

namespace galenabay::steer
{

namespace
{

using std::chrono::milliseconds;

std::optional<milliseconds> newest_sample_ago(const upstream_incarnation& upstream, base::time_point now)
{
    auto newest = upstream.answer_times.newest_age(now);
    if (upstream.fleet_samples_at)
    {
        const auto of_fleet = std::chrono::duration_cast<milliseconds>(now - *upstream.fleet_samples_at);
        newest = std::min(newest.value_or(of_fleet), of_fleet);
    }
    return newest;
}

/// Orders by the distance of the estimate from 1, largest first, then by service and id.
bool deviates_more(const upstream_incarnation* a, const upstream_incarnation* b)
{
    const auto rank_of = [](const upstream_incarnation& one)
    {
        return std::tuple{-std::abs(std::log(one.relative_answer_time)), std::string_view{one.entry.service},
                          std::string_view{one.entry.id}};
    };
    return rank_of(*a) < rank_of(*b);
}

} // namespace

answer_time_report report_answer_times(const upstream_registry& registry, base::time_point now)
{
    std::vector<const upstream_incarnation*> chosen;
    registry.for_each_service([&](const std::vector<upstream_incarnation*>& upstreams)
                              { chosen.insert(chosen.end(), upstreams.begin(), upstreams.end()); });
    answer_time_report report;
    if (chosen.size() > answer_time_report::max_upstreams)
    {
        report.left_out = chosen.size() - answer_time_report::max_upstreams;
        std::nth_element(chosen.begin(), chosen.begin() + answer_time_report::max_upstreams, chosen.end(),
                         deviates_more);
        chosen.resize(answer_time_report::max_upstreams);
    }
    report.upstreams.reserve(chosen.size());
    for (const auto* upstream : chosen)
    {
        const auto samples = std::lround(known_answer_times(*upstream, now).samples());
        report.upstreams.push_back({.service = upstream->entry.service,
                                    .id = upstream->entry.id,
                                    .relative = upstream->relative_answer_time,
                                    .samples = static_cast<std::uint32_t>(samples),
                                    .newest_sample_ago = newest_sample_ago(*upstream, now)});
    }
    std::sort(report.upstreams.begin(), report.upstreams.end());
    return report;
}

} // namespace galenabay::steer
