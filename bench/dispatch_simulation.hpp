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

/// Simulation in which all dispatch strategies are measured: virtual time, one
/// seeded workload, and upstreams with a fixed number of slots.
namespace galenabay::bench
{

using namespace std::chrono_literals;

/// Runs callbacks in virtual time, ordered by their time and then by the order
/// in which they were scheduled.
class event_loop
{
public:
    base::time_point now() const { return now_; }
    /// Runs `callback` once, `delay` from now.
    void schedule(base::duration delay, std::function<void()> callback)
    {
        events_.push(std::make_shared<entry>(entry{now_ + delay, order_++, std::move(callback)}));
    }
    /// Runs all callbacks due by `end`, then sets the clock to `end`.
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
    struct runs_later
    {
        bool operator()(const std::shared_ptr<entry>& a, const std::shared_ptr<entry>& b) const
        {
            return std::pair{a->at, a->order} > std::pair{b->at, b->order};
        }
    };

    base::time_point now_{};
    std::uint64_t order_ = 0;
    std::priority_queue<std::shared_ptr<entry>, std::vector<std::shared_ptr<entry>>, runs_later> events_;
};

/// One-way network delays within a data centre and between data centres.
constexpr base::duration local_delay = 100us;
constexpr base::duration remote_delay = 1ms;
/// Service times of short requests: uniform between minimum and maximum.
constexpr base::duration min_short_service_time = 5ms;
constexpr base::duration max_short_service_time = 15ms;
constexpr base::duration mean_short_service_time = 10ms;

/// The simulated fleet. Hosts and upstreams are assigned to data centres in turn.
struct fleet_layout
{
    std::size_t hosts = 9;
    std::size_t upstreams = 14;
    std::uint32_t slots = 3;
    std::size_t data_centres = 4;

    std::size_t data_centre_of_host(std::size_t host) const { return host % data_centres; }
    std::size_t data_centre_of_upstream(std::size_t upstream) const { return upstream % data_centres; }
    /// Total number of slots of all upstreams.
    std::uint32_t capacity() const { return static_cast<std::uint32_t>(upstreams) * slots; }
};

/// The workload that the callers offer.
struct offered_load
{
    std::uint64_t seed = 1;
    /// Offered work as a share of the slot capacity, without the extra work of
    /// stragglers.
    double level = 0.8;
    base::duration length = 10s;
    /// Share of runs that take `straggler_factor` times as long.
    double straggler_share = 0;
    double straggler_factor = 100;
    /// Share of requests for a path whose requests take `long_factor` times as long.
    double long_share = 0;
    double long_factor = 20;
    std::size_t callers = 2000;
    /// Offered work of one flooding caller as a share of the slot capacity.
    double flood_level = 0;
    /// True: some hosts consider one host failed that others consider live.
    bool hosts_disagree = false;
};

/// One request of the workload.
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

/// Measurements of one simulation.
struct outcome
{
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    /// Requests refused although they may have run.
    std::uint64_t unknown = 0;
    /// Requests of the callers that do not flood.
    std::uint64_t regular_offered = 0;
    std::uint64_t regular_answered = 0;
    std::uint64_t runs = 0;
    /// Requests that ran although they were refused as not run.
    std::uint64_t false_refusals = 0;
    /// Second and further runs of non-idempotent requests.
    std::uint64_t double_runs = 0;
    /// Retries that the dispatchers sent to upstreams.
    std::uint64_t extra_requests = 0;
    /// Bytes of the control messages between hosts and with upstreams.
    std::uint64_t control_bytes = 0;
    /// Work of the requests that were answered while the load lasted.
    double useful_work_us = 0;
    /// Time that slots were occupied while the load lasted, by upstream.
    std::vector<double> busy_us;
    /// Response times of answered short requests, in microseconds: those of
    /// which no run was a straggler and whose path isn't the long one.
    std::vector<double> response_times_us;

    /// Returns the response time in microseconds that a `share` (0 to 1) of the
    /// answers do not exceed; 0 without answers. Reorders `response_times_us`.
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
    /// Returns the busy time of the busiest upstream divided by the mean of all
    /// upstreams; 0 if none was busy.
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

/// One run of a request at an upstream.
struct run
{
    job submitted;
    bool cancelled = false;
    bool started = false;
    bool ended = false;
    /// True: takes `offered_load::straggler_factor` times its work.
    bool is_straggler = false;
    base::time_point started_at{};
    /// Called when the run ends, or when the upstream refuses it.
    std::function<void(bool refused)> on_done;
};

/// An upstream with a fixed number of slots and a bounded backlog. Refuses
/// requests when the backlog is full.
class upstream_model
{
public:
    upstream_model(event_loop& loop, const offered_load& offered, std::uint32_t slots, std::uint64_t seed)
        : loop_{loop}, offered_{offered}, slots_{slots}, random_{seed}
    {
    }

    /// Starts `arrived` if a slot is free, otherwise adds it to the backlog or
    /// refuses it.
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

    /// Cancels a waiting or running run; its `on_done` is not called.
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

    /// Number of running and waiting requests.
    std::uint32_t current_load() const { return running_ + static_cast<std::uint32_t>(backlog_.size()); }
    /// Sum of the time that its slots were occupied by runs that have ended.
    double busy_us() const { return busy_us_; }
    /// Number of runs started so far.
    std::uint64_t runs() const { return runs_; }
    /// Called when a slot becomes free and nothing waits for it.
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

/// Generates the requests of the workload as Poisson arrivals and calls
/// `on_arrival` for each at its time.
class workload
{
public:
    workload(event_loop& loop, const fleet_layout& layout, const offered_load& offered,
             std::function<void(const job&)> on_arrival)
        : loop_{loop}, layout_{layout}, offered_{offered}, on_arrival_{std::move(on_arrival)}, random_{offered.seed}
    {
    }

    /// Starts the arrivals, which end after `offered_load::length`.
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
        const double per_us = level * layout_.capacity() / static_cast<double>(mean_short_service_time.count());
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
        const auto spread = static_cast<std::uint64_t>((max_short_service_time - min_short_service_time).count());
        value.work = min_short_service_time + base::duration{static_cast<base::duration::rep>(random_.below(spread))};
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

/// One queue over all slots, with instant knowledge of the free ones: the
/// reference for the other strategies.
outcome run_omniscient(const fleet_layout& layout, const offered_load& offered);
/// Each host picks the less loaded of two random upstreams.
outcome run_two_choices(const fleet_layout& layout, const offered_load& offered);
/// Each host holds leases on a share of the slots.
outcome run_leased_slots(const fleet_layout& layout, const offered_load& offered);
/// Upstreams announce idle slots to random hosts (join-idle-queue).
outcome run_join_idle(const fleet_layout& layout, const offered_load& offered);
/// This project's dispatchers.
outcome run_sharded(const fleet_layout& layout, const offered_load& offered);

} // namespace galenabay::bench
