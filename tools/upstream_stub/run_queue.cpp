#include "run_queue.hpp"

#include <algorithm>
#include <utility>

namespace galenabay::stand_in
{

namespace
{

constexpr double cold_factor = 4;
/// Later blocks of a document are served from memory, and so faster.
constexpr double later_block_factor = 0.1;

bool matches(const job& work, const base::endpoint& caller, std::uint16_t message_id)
{
    return work.from.header.caller == caller && work.request.message_id == message_id;
}

template <typename Jobs>
std::optional<job> take_match(Jobs& jobs, const base::endpoint& caller, std::uint16_t message_id)
{
    const auto found =
        std::find_if(jobs.begin(), jobs.end(), [&](const job& each) { return matches(each, caller, message_id); });
    if (found == jobs.end())
    {
        return std::nullopt;
    }
    job taken = std::move(*found);
    jobs.erase(found);
    return taken;
}

} // namespace

bool run_queue::try_enqueue(job work)
{
    const std::size_t free_slots = settings_.slots - std::min(settings_.slots, running_.size());
    if (waiting_.size() >= settings_.backlog + free_slots)
    {
        return false;
    }
    waiting_.push_back(std::move(work));
    return true;
}

base::duration run_queue::sample_service_time(const job& work, base::time_point now)
{
    double factor = (0.5 + random_.unit()) * slowdown_;
    if (random_.unit() * 100 < settings_.straggler_percent)
    {
        factor *= settings_.straggler_factor;
    }
    if (now < cold_until_)
    {
        factor *= cold_factor;
    }
    if (work.request.block2 && work.request.block2->number > 0)
    {
        factor *= later_block_factor;
    }
    return base::duration{static_cast<std::int64_t>(static_cast<double>(settings_.service_time.count()) * factor)};
}

std::vector<job> run_queue::start_queued(base::time_point now, std::vector<job>& expired)
{
    std::vector<job> started;
    while (!waiting_.empty() && running_.size() < settings_.slots)
    {
        job work = std::move(waiting_.front());
        waiting_.pop_front();
        if (work.deadline != base::time_point{} && now >= work.deadline)
        {
            expired.push_back(std::move(work));
            continue;
        }
        work.run = ++last_run_;
        work.ends = now + sample_service_time(work, now);
        running_.push_back(work);
        started.push_back(std::move(work));
    }
    return started;
}

std::vector<job> run_queue::take_finished(base::time_point now)
{
    std::vector<job> finished;
    const auto first =
        std::stable_partition(running_.begin(), running_.end(), [now](const job& each) { return each.ends > now; });
    std::move(first, running_.end(), std::back_inserter(finished));
    running_.erase(first, running_.end());
    return finished;
}

std::optional<job> run_queue::cancel(const base::endpoint& caller, std::uint16_t message_id)
{
    auto taken = take_match(waiting_, caller, message_id);
    return taken ? taken : take_match(running_, caller, message_id);
}

bool run_queue::contains(const base::endpoint& caller, std::uint16_t message_id) const
{
    const auto same = [&](const job& each) { return matches(each, caller, message_id); };
    return std::any_of(waiting_.begin(), waiting_.end(), same) || std::any_of(running_.begin(), running_.end(), same);
}

std::vector<job> run_queue::clear()
{
    waiting_.clear();
    return std::exchange(running_, {});
}

} // namespace galenabay::stand_in
