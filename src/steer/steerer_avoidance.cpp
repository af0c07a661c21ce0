#include <galenabay/steer/steerer.hpp>

#include "upstream_evidence.hpp"
#include "upstream_selection.hpp"

#include <algorithm>
#include <utility>

// Bound on what weak evidence excludes.
namespace galenabay::steer
{

bool steerer::has_strong_evidence(const upstream_incarnation& upstream, base::time_point now) const
{
    return is_silent(upstream, now) || is_unreachable(upstream, now) ||
           upstream.unreachable_votes >= options_.confirming_votes || links_.is_silent(upstream.entry.data_centre);
}

avoidance_counts steerer::count_avoided(const std::vector<upstream_incarnation*>& upstreams, base::time_point now) const
{
    avoidance_counts counts;
    for (const auto* upstream : upstreams)
    {
        const bool is_missing = upstream->missing_since && !registry_.may_have_expired(*upstream);
        if (is_missing || !takes_new_flows(*upstream, evacuations_))
        {
            continue;
        }
        ++counts.upstreams;
        if (has_strong_evidence(*upstream, now))
        {
            const bool is_cut_off = links_.is_silent(upstream->entry.data_centre);
            counts.failed += is_cut_off || is_doubted(*upstream, now) ? 1 : 0;
        }
        else
        {
            counts.doubted += is_doubted(*upstream, now) ? 1 : 0;
        }
    }
    return counts;
}

void steerer::update_avoidance(base::time_point now)
{
    std::map<std::string, base::time_point> ignored_since;
    ignored_doubt_count_ = 0;
    avoided_count_ = 0;
    usable_count_ = 0;
    registry_.for_each_service(
        [&](const std::vector<upstream_incarnation*>& upstreams)
        {
            if (upstreams.empty())
            {
                return;
            }
            const auto counts = count_avoided(upstreams, now);
            const auto ignored = ignores_doubts(counts);
            for (auto* upstream : upstreams)
            {
                upstream->doubts_ignored = ignored && !has_strong_evidence(*upstream, now);
                if (takes_new_flows(*upstream, evacuations_))
                {
                    const bool is_missing = upstream->missing_since && !registry_.may_have_expired(*upstream);
                    const bool avoided =
                        is_missing || is_avoided(*upstream, now) || links_.is_silent(upstream->entry.data_centre);
                    ++(avoided ? avoided_count_ : usable_count_);
                }
            }
            const auto& service = upstreams.front()->entry.service;
            const auto known = ignored_since_.find(service);
            const bool was_ignored = known != ignored_since_.end();
            if (ignored)
            {
                ignored_doubt_count_ += counts.doubted;
                ignored_since.emplace(service, was_ignored ? known->second : now);
            }
            if (ignored != was_ignored)
            {
                avoidance_changes_.push_back({.service = service,
                                              .ignored = ignored,
                                              .counts = counts,
                                              .lasted = was_ignored ? now - known->second : base::duration{0}});
            }
        });
    for (const auto& ended : ignored_since_)
    {
        const auto& service = ended.first;
        const bool is_reported = std::any_of(avoidance_changes_.begin(), avoidance_changes_.end(),
                                             [&](const avoidance_change& change) { return change.service == service; });
        if (!ignored_since.contains(service) && !is_reported)
        {
            // The service has no upstreams any more.
            avoidance_changes_.push_back(
                {.service = service, .ignored = false, .counts = {}, .lasted = now - ended.second});
        }
    }
    ignored_since_ = std::move(ignored_since);
}

} // namespace galenabay::steer
