#include <galenabay/steer/evacuations.hpp>

#include <algorithm>
#include <cstddef>

namespace galenabay::steer
{

namespace
{

/// Withdrawn evacuations that are remembered: many more than the operators of some data
/// centres withdraw between two restores of a store.
constexpr std::size_t max_withdrawn = 256;

} // namespace

bool evacuation_table::adopt(const evacuation_set& next, base::time_point now)
{
    if (known_ && next.revision <= latest_.revision)
    {
        return false;
    }
    const bool is_new_epoch = known_ && next.revision.epoch != latest_.revision.epoch;
    if (is_new_epoch)
    {
        held_until_ = now + hold_time_;
        ignored_until_ = now + hold_time_ / 2;
        held_ = in_force_;
    }
    else
    {
        for (const auto& before : latest_.evacuations)
        {
            if (std::find(next.evacuations.begin(), next.evacuations.end(), before) == next.evacuations.end())
            {
                withdrawn_.push_back(before);
            }
        }
    }
    while (withdrawn_.size() > max_withdrawn)
    {
        withdrawn_.pop_front();
    }
    known_ = true;
    latest_ = next;
    update(now);
    return true;
}

void evacuation_table::tick(base::time_point now)
{
    if (ignored_until_ != base::time_point{} && now >= ignored_until_)
    {
        ignored_until_ = {};
        withdrawn_.clear();
        update(now);
    }
    if (held_until_ != base::time_point{} && !is_held(now))
    {
        held_until_ = {};
        held_.clear();
        update(now);
    }
}

void evacuation_table::update(base::time_point now)
{
    std::set<std::string> next;
    for (const auto& listed : latest_.evacuations)
    {
        if (now < ignored_until_ && std::find(withdrawn_.begin(), withdrawn_.end(), listed) != withdrawn_.end())
        {
            continue;
        }
        next.insert(listed.data_centre);
        // Listed in this epoch, so that its absence later means that it was withdrawn.
        held_.erase(listed.data_centre);
    }
    if (is_held(now))
    {
        next.insert(held_.begin(), held_.end());
    }
    if (next == in_force_)
    {
        return;
    }
    ++change_count_;
    for (const auto& before : in_force_)
    {
        if (!next.contains(before))
        {
            returned_at_[before] = now;
            returned_.insert(before);
        }
    }
    for (const auto& data_centre : next)
    {
        returned_at_.erase(data_centre);
        returned_.erase(data_centre);
    }
    in_force_ = std::move(next);
}

double evacuation_table::share_of(const std::string& data_centre, base::duration ramp, base::time_point now) const
{
    if (is_evacuated(data_centre))
    {
        return 0;
    }
    const auto returned = returned_at_.find(data_centre);
    if (returned == returned_at_.end() || now - returned->second >= ramp)
    {
        return 1;
    }
    return std::chrono::duration<double>(now - returned->second) / std::chrono::duration<double>(ramp);
}

} // namespace galenabay::steer
