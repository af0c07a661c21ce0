#include "registration_schedule.hpp"

#include <algorithm>

namespace galenabay::edge
{

namespace
{

using std::chrono::milliseconds;

/// Pause between attempts to read or write the hosts' entries.
constexpr base::duration retry_pause = milliseconds{1'000};
/// Interval at which a host checks that its entry is still there and looks for hosts that
/// it has no status of: long enough to cost next to nothing.
constexpr base::duration refresh_interval = std::chrono::seconds{60};
/// The same interval while no other host is live: a host that starts without usable seeds
/// finds the others here.
constexpr base::duration lonely_refresh_interval = milliseconds{1'000};

} // namespace

registration_schedule::step registration_schedule::next(const situation& seen, base::time_point now) const
{
    // The store may have lost the entry when it returned from an older copy.
    const bool is_uncertain = registered_ && seen.store_epoch > certain_epoch_;
    if ((is_uncertain && succeeded_) || now - attempted_at_ >= pause(seen))
    {
        return is_uncertain ? step::list_current : step::list;
    }
    return awaits_role() && seen.should_register ? step::write : step::wait;
}

void registration_schedule::on_listed(bool has_entry, std::uint64_t epoch, base::time_point now)
{
    attempted_at_ = now;
    succeeded_ = true;
    registered_ = has_entry;
    certain_epoch_ = std::max(certain_epoch_, epoch);
}

void registration_schedule::on_written(std::uint64_t epoch, base::time_point now)
{
    on_listed(true, epoch, now);
}

void registration_schedule::on_failed(base::time_point now)
{
    attempted_at_ = now;
    succeeded_ = false;
}

base::duration registration_schedule::longest_wait(const situation& seen) const
{
    return std::min(retry_pause, pause(seen));
}

base::duration registration_schedule::pause(const situation& seen) const
{
    const auto answered = seen.alone ? lonely_refresh_interval : refresh_interval;
    return succeeded_ ? answered : retry_pause;
}

} // namespace galenabay::edge
