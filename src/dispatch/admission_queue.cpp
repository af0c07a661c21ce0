#include "admission_queue.hpp"

#include <galenabay/base/hash.hpp>
#include <galenabay/base/invariant.hpp>

#include <algorithm>
#include <iterator>

namespace galenabay::dispatch
{

namespace
{

/// Number of callers, beyond that of the waiting requests, above which idle
/// callers are erased.
constexpr std::size_t max_idle_callers = 4096;

double cost_of(const queued_work& work)
{
    return std::max<double>(1, static_cast<double>(work.expected.count()));
}

} // namespace

double admission_queue::clock_of(std::uint64_t caller) const
{
    const auto known = callers_.find(caller);
    return known == callers_.end() ? virtual_time_ : std::max(virtual_time_, known->second.finish);
}

queue_position admission_queue::push(const queued_work& work)
{
    const std::uint64_t caller = base::hash_endpoint(work.caller);
    const queue_position position{clock_of(caller) + cost_of(work), next_order_++};
    auto& clock = callers_[caller];
    clock.finish = position.finish;
    ++clock.waiting;
    long_size_ += work.is_long ? 1 : 0;
    total_ += work.expected;
    waiting_.emplace(position, work);
    return position;
}

std::optional<queued_work> admission_queue::pop(bool allow_long)
{
    auto place = waiting_.begin();
    if (!allow_long)
    {
        place = std::find_if(waiting_.begin(), waiting_.end(), [](const auto& entry) { return !entry.second.is_long; });
    }
    if (place == waiting_.end())
    {
        return std::nullopt;
    }
    const queued_work work = place->second;
    virtual_time_ = std::max(virtual_time_, place->first.finish);
    remove(place, true);
    return work;
}

void admission_queue::erase(const queue_position& position)
{
    const auto place = waiting_.find(position);
    GALENABAY_INVARIANT(place != waiting_.end());
    remove(place, false);
}

const queued_work* admission_queue::last() const
{
    return waiting_.empty() ? nullptr : &std::prev(waiting_.end())->second;
}

base::duration admission_queue::work_before(const queue_position& position) const
{
    // Starts at the back: most new requests are inserted near it.
    base::duration after{0};
    auto place = waiting_.end();
    while (place != waiting_.begin() && !(std::prev(place)->first < position))
    {
        --place;
        after += place->second.expected;
    }
    return total_ - after;
}

void admission_queue::remove(std::map<queue_position, queued_work>::iterator place, bool served)
{
    const queued_work& work = place->second;
    const std::uint64_t caller = base::hash_endpoint(work.caller);
    const auto clock = callers_.find(caller);
    GALENABAY_INVARIANT(clock != callers_.end() && clock->second.waiting > 0);
    --clock->second.waiting;
    if (!served)
    {
        clock->second.finish -= cost_of(work);
    }
    if (clock->second.waiting == 0 && clock->second.finish <= virtual_time_)
    {
        callers_.erase(clock);
    }
    long_size_ -= work.is_long ? 1 : 0;
    total_ -= work.expected;
    waiting_.erase(place);
    if (callers_.size() > max_idle_callers + waiting_.size())
    {
        std::erase_if(callers_, [this](const auto& entry)
                      { return entry.second.waiting == 0 && entry.second.finish <= virtual_time_; });
    }
}

} // namespace galenabay::dispatch
