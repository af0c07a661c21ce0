#include "host_faults.hpp"

#include <csignal>

namespace galenabay::edge_soak
{

namespace
{

constexpr double restart_delay_s = 0.5;
/// All machines start within this time of each other.
constexpr double start_spread_s = 0.3;
/// A quota of 0.055 of a core in periods of 100 ms.
constexpr double quota_period_s = 0.1;
constexpr double quota_run_s = 0.0055;
constexpr std::size_t min_hosts = 4;
/// A SIGHUP at the start is sent within this time after exec.
constexpr double hup_window_s = 0.05;

} // namespace

host_faults::host_faults(fault_schedule& schedule, host_processes& hosts, std::uint64_t seed)
    : schedule_{schedule}, hosts_{hosts}, start_random_{seed + 1}
{
    hosts_.on_start([this](std::size_t host, double now) { on_start(host, now); });
}

std::size_t host_faults::count_in_use() const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        count += hosts_.in_use(i) ? 1 : 0;
    }
    return count;
}

std::size_t host_faults::pick()
{
    auto host = schedule_.random.below(hosts_.size());
    while (!hosts_.in_use(host))
    {
        host = (host + 1) % hosts_.size();
    }
    return host;
}

void host_faults::begin(double now)
{
    const auto host = pick();
    switch (schedule_.random.below(12))
    {
    case 0:
        if (schedule_.begin("host_killed"))
        {
            hosts_.end(host, SIGKILL, schedule_.between(0, restart_delay_s));
        }
        break;
    case 1:
        if (schedule_.begin("host_stopped"))
        {
            hosts_.end(host, SIGTERM, schedule_.between(0, restart_delay_s));
        }
        break;
    case 2:
        if (schedule_.begin("host_paused"))
        {
            pause(host, now, schedule_.between(0.2, 2.2));
        }
        break;
    case 3:
        reload(host);
        break;
    case 4:
        if (schedule_.begin("hup_series"))
        {
            hup_series(host, now, 0.5);
        }
        break;
    case 5:
        stop_in_turn(now);
        break;
    case 6:
        kill_many();
        break;
    case 7:
        replace(host, now);
        break;
    case 8:
    case 9:
        add_or_remove(schedule_.random.below(hosts_.size()), now);
        break;
    default:
        write_half(host, now, schedule_.chance(0.5));
        break;
    }
}

void host_faults::on_start(std::size_t host, double now)
{
    const auto selected = start_random_.below(20);
    const double unit = start_random_.unit();
    const double seconds = 0.1 + 3 * start_random_.unit();
    if (selected < 3 && schedule_.begin("hup_at_start"))
    {
        hup_early(host, now);
    }
    else if (selected < 5 && schedule_.begin("hup_before_main"))
    {
        schedule_.add(now + hup_window_s * unit, [this, host](double) { hosts_.signal(host, SIGHUP); });
    }
    else if (selected < 7 && schedule_.begin("paused_at_start"))
    {
        schedule_.add(now + 0.03 * unit, [this, host, seconds](double at) { pause(host, at, seconds); });
    }
    else if (selected < 9 && schedule_.begin("slow_at_start"))
    {
        slow_down(host, now, now + seconds);
    }
}

void host_faults::pause(std::size_t host, double now, double seconds)
{
    hosts_.hold_up(host, now, now + seconds);
    hosts_.signal(host, SIGSTOP);
    schedule_.add(now + seconds, [this, host](double) { hosts_.signal(host, SIGCONT); });
}

void host_faults::slow_down(std::size_t host, double now, double until)
{
    hosts_.hold_up(host, now, until);
    hosts_.signal(host, SIGSTOP);
    schedule_.add(now + quota_period_s - quota_run_s,
                  [this, host, until](double at)
                  {
                      hosts_.signal(host, SIGCONT);
                      if (at < until)
                      {
                          schedule_.add(at + quota_run_s,
                                        [this, host, until](double later) { slow_down(host, later, until); });
                      }
                  });
}

void host_faults::reload(std::size_t host)
{
    if (!schedule_.begin("host_reloaded"))
    {
        return;
    }
    hosts_.write_settings(host, schedule_.chance(0.5) ? settings_write::rename : settings_write::in_place);
    if (schedule_.chance(0.7))
    {
        hup(host);
    }
}

void host_faults::hup(std::size_t host)
{
    if (hosts_.handles_signals(host))
    {
        hosts_.signal(host, SIGHUP);
    }
}

void host_faults::hup_early(std::size_t host, double now)
{
    constexpr double retry_s = 0.0005;
    if (hosts_.handles_signals(host))
    {
        for (double time = 0; time < hup_window_s; time += 0.01)
        {
            schedule_.add(now + time, [this, host](double) { hup(host); });
        }
    }
    else if (hosts_.in_use(host))
    {
        schedule_.add(now + retry_s, [this, host](double at) { hup_early(host, at); });
    }
}

void host_faults::hup_series(std::size_t host, double now, double seconds)
{
    const auto count = 1 + schedule_.random.below(5);
    for (std::size_t i = 0; i < count; ++i)
    {
        schedule_.add(now + schedule_.between(0, seconds), [this, host](double) { hup(host); });
    }
}

void host_faults::stop_in_turn(double now)
{
    if (!schedule_.begin("stopped_in_turn"))
    {
        return;
    }
    const double gap = schedule_.between(0.3, 1.3);
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        schedule_.add(now + gap * static_cast<double>(i),
                      [this, i](double)
                      {
                          if (hosts_.in_use(i))
                          {
                              hosts_.end(i, SIGTERM, restart_delay_s);
                          }
                      });
    }
}

void host_faults::kill_many()
{
    if (!schedule_.begin("killed_at_once"))
    {
        return;
    }
    const double share = schedule_.chance(0.5) ? 1 : 0.55;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        if (hosts_.in_use(i) && schedule_.chance(share))
        {
            hosts_.end(i, SIGKILL, schedule_.between(0, start_spread_s));
        }
    }
}

void host_faults::replace(std::size_t host, double now)
{
    if (!schedule_.begin("replaced_early"))
    {
        return;
    }
    hosts_.replace(host, now);
    schedule_.add(now + schedule_.between(0.1, 3), [this, host](double) { hosts_.kill_replaced(host); });
}

void host_faults::add_or_remove(std::size_t host, double now)
{
    if (!hosts_.in_use(host) && schedule_.begin("host_added"))
    {
        hosts_.add(host, now);
    }
    else if (count_in_use() > min_hosts && schedule_.begin("host_removed"))
    {
        hosts_.remove(host);
    }
}

void host_faults::write_half(std::size_t host, double now, bool restart)
{
    if (!schedule_.begin(restart ? "settings_half_at_start" : "settings_half"))
    {
        return;
    }
    const double begin = restart ? now + restart_delay_s - 0.01 : now;
    if (restart)
    {
        hosts_.end(host, SIGKILL, restart_delay_s);
    }
    schedule_.add(begin, [this, host](double) { hosts_.write_settings(host, settings_write::half); });
    if (schedule_.chance(0.5))
    {
        schedule_.add(begin + 0.002, [this, host](double) { hup(host); });
    }
    schedule_.add(begin + schedule_.between(0.005, 0.1),
                  [this, host](double) { hosts_.write_settings(host, settings_write::in_place); });
}

} // namespace galenabay::edge_soak
