#pragma once

#include <galenabay/base/random.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/dispatch/request.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

/// What every way of dispatching is measured with: virtual time, one seeded
/// workload, and upstreams with slots.
namespace galenabay::bench
{

using namespace std::chrono_literals;

/// Virtual time with an ordered list of things to do.
class event_loop
{
public:
    base::time_point now() const { return now_; }
    void schedule(base::duration delay, std::function<void()> callback)
    {
        events_.push(std::make_shared<entry>(entry{now_ + delay, order_++, std::move(callback)}));
    }
    void run_until(base::time_point end)
    {
        while (!events_.empty() && events_.top()->at <= end)
        {
            const auto next = events_.top();
            events_.pop();
            now_ = next->at;
            next->callback();
        }
        now_ = end;
    }

private:
    struct entry
    {
        base::time_point at;
        std::uint64_t order;
        std::function<void()> callback;
    };
    struct later
    {
        bool operator()(const std::shared_ptr<entry>& a, const std::shared_ptr<entry>& b) const
        {
            return std::pair{a->at, a->order} > std::pair{b->at, b->order};
        }
    };

    base::time_point now_{};
    std::uint64_t order_ = 0;
    std::priority_queue<std::shared_ptr<entry>, std::vector<std::shared_ptr<entry>>, later> events_;
};

constexpr base::duration local_delay = 100us;
constexpr base::duration remote_delay = 1ms;
constexpr base::duration least_short_time = 5ms;
constexpr base::duration most_short_time = 15ms;
constexpr base::duration mean_short_time = 10ms;

struct fleet_layout
{
    std::size_t hosts = 9;
    std::size_t upstreams = 14;
    std::uint32_t slots = 3;
    std::size_t data_centres = 4;

    std::size_t data_centre_of_host(std::size_t host) const { return host % data_centres; }
    std::size_t data_centre_of_upstream(std::size_t upstream) const { return upstream % data_centres; }
    std::uint32_t capacity() const { return static_cast<std::uint32_t>(upstreams) * slots; }
};

struct offered_load
{
    std::uint64_t seed = 1;
    /// Offered work over slot capacity, stragglers not counted.
    double level = 0.8;
    base::duration length = 10s;
    /// Share of runs that take `straggler_factor` times as long.
    double straggler_share = 0;
    double straggler_factor = 100;
    /// Share of requests for a path whose work takes `long_factor` times as long.
    double long_share = 0;
    double long_factor = 20;
    std::size_t callers = 2000;
    /// Offered work of one flooding caller over slot capacity.
    double flood_level = 0;
    /// True: some hosts take one host for dead that others take for alive.
    bool hosts_disagree = false;
};

/// One request of the workload. Plain value.
struct job
{
    std::uint64_t id = 0;
    std::size_t host = 0;
    std::uint32_t caller = 0;
    bool is_flood = false;
    dispatch::method kind = dispatch::method::get;
    std::uint64_t path = 0;
    bool is_long = false;
    base::duration work{0};
    base::time_point arrived{};
};

struct outcome
{
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t regular_offered = 0;
    std::uint64_t regular_answered = 0;
    std::uint64_t runs = 0;
    std::uint64_t false_refusals = 0;
    std::uint64_t double_runs = 0;
    std::uint64_t extra_requests = 0;
    std::uint64_t control_bytes = 0;
    double useful_work_us = 0;
    std::vector<double> busy_us;
    /// Response times of answered short requests, in microseconds: those of
    /// which no run was a straggler and whose path isn't the long one.
    std::vector<double> response_times_us;

    double percentile(double share)
    {
        if (response_times_us.empty())
        {
            return 0;
        }
        const auto position = response_times_us.begin() +
                              static_cast<std::ptrdiff_t>(share * static_cast<double>(response_times_us.size() - 1));
        std::nth_element(response_times_us.begin(), position, response_times_us.end());
        return *position;
    }
    double imbalance() const
    {
        double sum = 0;
        double most = 0;
        for (const double busy : busy_us)
        {
            sum += busy;
            most = std::max(most, busy);
        }
        return sum <= 0 ? 0 : most * static_cast<double>(busy_us.size()) / sum;
    }
};

/// A run at an upstream.
struct run
{
    job submitted;
    bool cancelled = false;
    bool started = false;
    bool ended = false;
    /// True: takes many times longer than its work.
    bool is_straggler = false;
    base::time_point started_at{};
    std::function<void(bool refused)> on_done;
};

/// An upstream: slots, and a short backlog past which it sheds.
class upstream_model
{
public:
    upstream_model(event_loop& loop, const offered_load& offered, std::uint32_t slots, std::uint64_t seed)
        : loop_{loop}, offered_{offered}, slots_{slots}, random_{seed}
    {
    }

    void accept(const std::shared_ptr<run>& arrived)
    {
        if (running_ < slots_)
        {
            start(arrived);
            return;
        }
        if (backlog_.size() >= max_backlog)
        {
            arrived->on_done(true);
            return;
        }
        backlog_.push_back(arrived);
    }

    void cancel(const std::shared_ptr<run>& target)
    {
        if (std::exchange(target->cancelled, true))
        {
            return;
        }
        if (target->started && !target->ended)
        {
            release(target);
        }
    }

    std::uint32_t current_load() const { return running_ + static_cast<std::uint32_t>(backlog_.size()); }
    double busy_us() const { return busy_us_; }
    std::uint64_t runs() const { return runs_; }
    std::function<void()> on_idle;

private:
    static constexpr std::size_t max_backlog = 16;

    void start(const std::shared_ptr<run>& next)
    {
        ++running_;
        ++runs_;
        next->started = true;
        next->started_at = loop_.now();
        next->is_straggler = random_.unit() < offered_.straggler_share;
        const double factor = next->is_straggler ? offered_.straggler_factor : 1;
        const auto time = static_cast<base::duration::rep>(static_cast<double>(next->submitted.work.count()) * factor);
        loop_.schedule(base::duration{time},
                       [this, next]
                       {
                           if (!next->cancelled)
                           {
                               release(next);
                               next->on_done(false);
                           }
                       });
    }

    void release(const std::shared_ptr<run>& ended)
    {
        busy_us_ += static_cast<double>((loop_.now() - ended->started_at).count());
        --running_;
        ended->ended = true;
        while (!backlog_.empty() && running_ < slots_)
        {
            const auto next = backlog_.front();
            backlog_.pop_front();
            if (!next->cancelled)
            {
                start(next);
            }
        }
        if (running_ < slots_ && on_idle)
        {
            on_idle();
        }
    }

    event_loop& loop_;
    const offered_load& offered_;
    std::uint32_t slots_;
    base::random_source random_;
    std::uint32_t running_ = 0;
    std::uint64_t runs_ = 0;
    double busy_us_ = 0;
    std::deque<std::shared_ptr<run>> backlog_;
};

/// Calls `arrive` for each request of the workload, at its time.
class workload
{
public:
    workload(event_loop& loop, const fleet_layout& layout, const offered_load& offered,
             std::function<void(const job&)> on_arrival)
        : loop_{loop}, layout_{layout}, offered_{offered}, on_arrival_{std::move(on_arrival)}, random_{offered.seed}
    {
    }

    void start()
    {
        end_ = loop_.now() + offered_.length;
        if (offered_.level > 0)
        {
            schedule_next(offered_.level, false);
        }
        if (offered_.flood_level > 0)
        {
            schedule_next(offered_.flood_level, true);
        }
    }

private:
    void schedule_next(double level, bool is_flood)
    {
        const double per_us = level * layout_.capacity() / static_cast<double>(mean_short_time.count());
        const double gap = -std::log(1 - random_.unit()) / per_us;
        loop_.schedule(base::duration{static_cast<base::duration::rep>(gap)},
                       [this, level, is_flood]
                       {
                           if (loop_.now() < end_)
                           {
                               on_arrival_(make_job(is_flood));
                               schedule_next(level, is_flood);
                           }
                       });
    }

    job make_job(bool is_flood)
    {
        job value;
        value.id = ++next_id_;
        value.host = random_.below(layout_.hosts);
        value.is_flood = is_flood;
        value.caller = is_flood ? 0 : 1 + static_cast<std::uint32_t>(random_.below(offered_.callers));
        value.kind = random_.unit() < 0.3 ? dispatch::method::post : dispatch::method::get;
        value.path = random_.below(16);
        const auto spread = static_cast<std::uint64_t>((most_short_time - least_short_time).count());
        value.work = least_short_time + base::duration{static_cast<base::duration::rep>(random_.below(spread))};
        value.is_long = offered_.long_share > 0 && random_.unit() < offered_.long_share;
        if (value.is_long)
        {
            value.path = long_path;
            value.work *= static_cast<base::duration::rep>(offered_.long_factor);
        }
        value.arrived = loop_.now();
        return value;
    }

    static constexpr std::uint64_t long_path = 99;

    event_loop& loop_;
    const fleet_layout& layout_;
    const offered_load& offered_;
    std::function<void(const job&)> on_arrival_;
    base::random_source random_;
    base::time_point end_{};
    std::uint64_t next_id_ = 0;
};

outcome run_omniscient(const fleet_layout& layout, const offered_load& offered);
outcome run_two_choices(const fleet_layout& layout, const offered_load& offered);
outcome run_leased_slots(const fleet_layout& layout, const offered_load& offered);
outcome run_join_idle(const fleet_layout& layout, const offered_load& offered);
/// The dispatchers of this project.
outcome run_sharded(const fleet_layout& layout, const offered_load& offered);

} // namespace galenabay::bench
