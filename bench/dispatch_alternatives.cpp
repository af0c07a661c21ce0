// Dispatch strategies that this project's dispatchers are compared with.

#include "dispatch_simulation.hpp"

#include <array>
#include <optional>

namespace galenabay::bench
{

namespace
{

constexpr base::duration deadline = 5s;
/// Time simulated after the last arrival: longer than the deadline, so that
/// every request ends.
constexpr base::duration drain_time = 6s;
constexpr base::duration report_interval = 200ms;
/// Assumed sizes of the control messages.
constexpr std::uint64_t report_bytes = 40;
constexpr std::uint64_t idle_notice_bytes = 40;
constexpr std::uint64_t lease_bytes = 24;
/// Maximum number of waiting requests per data centre.
constexpr std::size_t queue_limit = 256;

/// Base class of the strategies: owns the upstreams and the workload, counts
/// requests and handles the end of each run.
class simulation
{
public:
    simulation(const fleet_layout& fleet, const offered_load& demand)
        : layout{fleet}, offered{demand}, random{demand.seed + 77}, source_{loop, layout, offered,
                                                                            [this](const job& submitted)
                                                                            { count_arrival(submitted); }}
    {
        for (std::size_t u = 0; u < layout.upstreams; ++u)
        {
            upstreams.push_back(std::make_unique<upstream_model>(loop, offered, layout.slots, offered.seed * 100 + u));
        }
    }
    simulation(const simulation&) = delete;
    simulation& operator=(const simulation&) = delete;
    virtual ~simulation() = default;

    outcome simulate()
    {
        source_.start();
        loop.run_until(base::time_point{offered.length});
        for (const auto& upstream : upstreams)
        {
            result.busy_us.push_back(upstream->busy_us());
        }
        loop.run_until(base::time_point{offered.length + drain_time});
        return std::move(result);
    }

protected:
    virtual void on_arrival(const job& submitted) = 0;
    virtual void on_finished(std::size_t /*host*/, std::size_t /*upstream*/) {}

    base::duration one_way_delay(std::size_t host, std::size_t upstream) const
    {
        const bool is_local = layout.data_centre_of_host(host) == layout.data_centre_of_upstream(upstream);
        return is_local ? local_delay : remote_delay;
    }

    void send(const job& submitted, std::size_t upstream, base::duration delay)
    {
        const auto started = std::make_shared<run>();
        started->submitted = submitted;
        started->on_done = [this, upstream, delay, target = std::weak_ptr{started}](bool refused) {
            loop.schedule(delay,
                          [this, ended = target.lock(), upstream, refused] { finish_run(*ended, upstream, refused); });
        };
        loop.schedule(delay, [this, started, upstream] { upstreams[upstream]->accept(started); });
        // At the deadline the caller stops waiting and the upstream cancels the run.
        loop.schedule(deadline, [this, started, upstream] { upstreams[upstream]->cancel(started); });
    }

    void refuse() { ++result.refused; }

    event_loop loop;
    const fleet_layout& layout;
    const offered_load& offered;
    base::random_source random;
    std::vector<std::unique_ptr<upstream_model>> upstreams;
    outcome result;

private:
    void count_arrival(const job& submitted)
    {
        ++result.offered;
        result.regular_offered += submitted.is_flood ? 0 : 1;
        on_arrival(submitted);
    }

    void finish_run(const run& ended, std::size_t upstream, bool refused)
    {
        const job& submitted = ended.submitted;
        on_finished(submitted.host, upstream);
        if (refused)
        {
            ++result.refused;
            return;
        }
        ++result.answered;
        result.regular_answered += submitted.is_flood ? 0 : 1;
        if (!ended.is_straggler && !submitted.is_long)
        {
            result.response_times_us.push_back(static_cast<double>((loop.now() - submitted.arrived).count()));
        }
        const bool is_in_time = loop.now() <= base::time_point{offered.length};
        result.useful_work_us += is_in_time ? static_cast<double>(submitted.work.count()) : 0;
    }

    workload source_;
};

/// One queue over all slots, whose state every host knows without delay.
class omniscient final : public simulation
{
public:
    using simulation::simulation;

private:
    void on_arrival(const job& submitted) override
    {
        waiting_.push_back(submitted);
        dispatch_waiting();
        if (waiting_.size() > queue_limit * layout.data_centres)
        {
            waiting_.pop_back();
            refuse();
        }
    }

    void on_finished(std::size_t /*host*/, std::size_t upstream) override
    {
        --occupied_slots_[upstream];
        dispatch_waiting();
    }

    void dispatch_waiting()
    {
        occupied_slots_.resize(layout.upstreams);
        while (!waiting_.empty())
        {
            const auto least = std::min_element(occupied_slots_.begin(), occupied_slots_.end());
            if (*least >= layout.slots)
            {
                return;
            }
            ++*least;
            send(waiting_.front(), static_cast<std::size_t>(least - occupied_slots_.begin()), local_delay);
            waiting_.pop_front();
        }
    }

    std::deque<job> waiting_;
    std::vector<std::uint32_t> occupied_slots_;
};

/// Each host picks the less loaded of two random upstreams, by its own
/// outstanding requests and the last load report.
class two_choices final : public simulation
{
public:
    two_choices(const fleet_layout& fleet, const offered_load& demand)
        : simulation{fleet, demand}, reported_(fleet.upstreams, 0),
          outstanding_(layout.hosts, std::vector<std::uint32_t>(layout.upstreams, 0))
    {
        report();
    }

private:
    void report()
    {
        for (std::size_t u = 0; u < layout.upstreams; ++u)
        {
            reported_[u] = upstreams[u]->current_load();
        }
        result.control_bytes += report_bytes * layout.upstreams * layout.hosts;
        if (loop.now() < base::time_point{offered.length})
        {
            loop.schedule(report_interval, [this] { report(); });
        }
    }

    void on_arrival(const job& submitted) override
    {
        const std::size_t a = random.below(layout.upstreams);
        const std::size_t b = random.below(layout.upstreams);
        const auto weight = [&](std::size_t u) { return outstanding_[submitted.host][u] + reported_[u]; };
        const std::size_t chosen = weight(a) <= weight(b) ? a : b;
        ++outstanding_[submitted.host][chosen];
        send(submitted, chosen, one_way_delay(submitted.host, chosen));
    }

    void on_finished(std::size_t host, std::size_t upstream) override { --outstanding_[host][upstream]; }

    std::vector<std::uint32_t> reported_;
    std::vector<std::vector<std::uint32_t>> outstanding_;
};

/// Each host holds a share of the slots and a queue of its own.
class leased_slots final : public simulation
{
public:
    leased_slots(const fleet_layout& fleet, const offered_load& demand) : simulation{fleet, demand}, hosts_(fleet.hosts)
    {
        for (std::uint32_t slot = 0; slot < layout.capacity(); ++slot)
        {
            hosts_[slot % layout.hosts].free.push_back(slot / layout.slots);
        }
        if (offered.hosts_disagree && layout.hosts > 1)
        {
            reassign_slots_of_last_host();
        }
        const auto seconds = static_cast<std::uint64_t>(offered.length / 1s);
        result.control_bytes = lease_bytes * layout.capacity() * seconds;
    }

private:
    struct host_queue
    {
        std::vector<std::size_t> free;
        std::deque<job> waiting;
    };

    /// Gives the slots of the last host to half of the hosts too, as if these
    /// considered it failed. The last host keeps using them.
    void reassign_slots_of_last_host()
    {
        const auto slots = hosts_.back().free;
        for (std::size_t i = 0; i < slots.size(); ++i)
        {
            hosts_[i % std::max<std::size_t>(1, layout.hosts / 2)].free.push_back(slots[i]);
        }
    }

    void on_arrival(const job& submitted) override
    {
        auto& queue = hosts_[submitted.host].waiting;
        if (queue.size() >= queue_limit * layout.data_centres / layout.hosts)
        {
            refuse();
            return;
        }
        queue.push_back(submitted);
        dispatch_waiting(submitted.host);
    }

    void on_finished(std::size_t host, std::size_t upstream) override
    {
        hosts_[host].free.push_back(upstream);
        dispatch_waiting(host);
    }

    void dispatch_waiting(std::size_t host)
    {
        auto& state = hosts_[host];
        while (!state.waiting.empty() && !state.free.empty())
        {
            const std::size_t upstream = state.free.front();
            state.free.erase(state.free.begin());
            send(state.waiting.front(), upstream, one_way_delay(host, upstream));
            state.waiting.pop_front();
        }
    }

    std::vector<host_queue> hosts_;
};

/// Upstreams notify a random host of each idle slot; a host without such a
/// notice probes two upstreams.
class join_idle final : public simulation
{
public:
    join_idle(const fleet_layout& fleet, const offered_load& demand) : simulation{fleet, demand}, notices_(fleet.hosts)
    {
        for (std::size_t u = 0; u < layout.upstreams; ++u)
        {
            upstreams[u]->on_idle = [this, u] { notify_idle(u); };
            for (std::uint32_t s = 0; s < layout.slots; ++s)
            {
                notify_idle(u);
            }
        }
    }

private:
    void notify_idle(std::size_t upstream)
    {
        const std::size_t host = random.below(layout.hosts);
        result.control_bytes += idle_notice_bytes;
        loop.schedule(one_way_delay(host, upstream), [this, host, upstream] { notices_[host].push_back(upstream); });
    }

    void on_arrival(const job& submitted) override
    {
        auto& notices = notices_[submitted.host];
        if (!notices.empty())
        {
            const std::size_t upstream = notices.front();
            notices.pop_front();
            send(submitted, upstream, one_way_delay(submitted.host, upstream));
            return;
        }
        const std::size_t a = random.below(layout.upstreams);
        const std::size_t b = random.below(layout.upstreams);
        const std::size_t chosen = upstreams[a]->current_load() <= upstreams[b]->current_load() ? a : b;
        result.control_bytes += 2 * 2 * idle_notice_bytes;
        // The request is sent after the round trip of the probes.
        const base::duration probe_round_trip =
            2 * std::max(one_way_delay(submitted.host, a), one_way_delay(submitted.host, b));
        loop.schedule(probe_round_trip,
                      [this, submitted, chosen] { send(submitted, chosen, one_way_delay(submitted.host, chosen)); });
    }

    std::vector<std::deque<std::size_t>> notices_;
};

} // namespace

outcome run_omniscient(const fleet_layout& layout, const offered_load& offered)
{
    return omniscient{layout, offered}.simulate();
}
outcome run_two_choices(const fleet_layout& layout, const offered_load& offered)
{
    return two_choices{layout, offered}.simulate();
}
outcome run_leased_slots(const fleet_layout& layout, const offered_load& offered)
{
    return leased_slots{layout, offered}.simulate();
}
outcome run_join_idle(const fleet_layout& layout, const offered_load& offered)
{
    return join_idle{layout, offered}.simulate();
}

} // namespace galenabay::bench
