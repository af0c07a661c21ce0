#include <galenabay/steer/steerer.hpp>

#include "upstream_evidence.hpp"
#include "upstream_selection.hpp"

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
        if (registry_.is_missing(*upstream) || !takes_new_flows(*upstream, evacuations_))
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
    auto earlier = std::exchange(ignored_since_, {});
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
                    const bool avoided = registry_.is_missing(*upstream) || is_avoided(*upstream, now) ||
                                         links_.is_silent(upstream->entry.data_centre);
                    ++(avoided ? avoided_count_ : usable_count_);
                }
            }
            const auto& service = upstreams.front()->entry.service;
            const auto known = earlier.extract(service);
            const bool was_ignored = !known.empty();
            const auto since = was_ignored ? known.mapped() : now;
            if (ignored)
            {
                ignored_doubt_count_ += counts.doubted;
                ignored_since_.emplace(service, since);
            }
            if (ignored != was_ignored)
            {
                avoidance_changes_.push_back(
                    {.service = service, .ignored = ignored, .counts = counts, .lasted = now - since});
            }
        });
    // These services have no upstreams any more.
    for (const auto& [service, since] : earlier)
    {
        avoidance_changes_.push_back({.service = service, .ignored = false, .counts = {}, .lasted = now - since});
    }
}

} // namespace galenabay::steer
