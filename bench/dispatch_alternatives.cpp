// Ways of dispatching that the project's own is weighed against.

#include "dispatch_simulation.hpp"

#include <array>
#include <optional>

namespace galenabay::bench
{

namespace
{

constexpr base::duration deadline = 5s;
constexpr base::duration drain_time = 6s;
constexpr base::duration report_interval = 200ms;
constexpr std::uint64_t report_bytes = 40;
constexpr std::uint64_t idle_notice_bytes = 40;
constexpr std::uint64_t lease_bytes = 24;
constexpr std::size_t queue_limit = 256;

/// What the alternatives share: upstreams, counting, and the end of a run.
class simulation
{
public:
    simulation(const shape& size, const load& demand)
        : plan{size}, offered{demand}, random{demand.seed + 77}, source_{loop, plan, offered,
                                                                         [this](const job& asked) { count(asked); }}
    {
        for (std::size_t u = 0; u < plan.upstreams; ++u)
        {
            upstreams.push_back(std::make_unique<upstream_model>(loop, offered, plan.slots, offered.seed * 100 + u));
        }
    }
    simulation(const simulation&) = delete;
    simulation& operator=(const simulation&) = delete;
    virtual ~simulation() = default;

    outcome play()
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
    virtual void arrive(const job& asked) = 0;
    virtual void finished(std::size_t /*host*/, std::size_t /*upstream*/) {}

    base::duration leg(std::size_t host, std::size_t upstream) const
    {
        const bool is_local = plan.data_centre_of_host(host) == plan.data_centre_of_upstream(upstream);
        return is_local ? local_delay : remote_delay;
    }

    void send(const job& asked, std::size_t upstream, base::duration delay)
    {
        const auto started = std::make_shared<run>();
        started->asked = asked;
        started->done = [this, upstream, delay, target = std::weak_ptr{started}](bool refused)
        { loop.after(delay, [this, ended = target.lock(), upstream, refused] { end(*ended, upstream, refused); }); };
        loop.after(delay, [this, started, upstream] { upstreams[upstream]->accept(started); });
        // The caller gives up at its deadline and the upstream with it.
        loop.after(deadline, [this, started, upstream] { upstreams[upstream]->cancel(started); });
    }

    void refuse() { ++result.refused; }

    event_loop loop;
    const shape& plan;
    const load& offered;
    base::random_source random;
    std::vector<std::unique_ptr<upstream_model>> upstreams;
    outcome result;

private:
    void count(const job& asked)
    {
        ++result.offered;
        result.fair_offered += asked.is_flood ? 0 : 1;
        arrive(asked);
    }

    void end(const run& ended, std::size_t upstream, bool refused)
    {
        const job& asked = ended.asked;
        finished(asked.host, upstream);
        if (refused)
        {
            ++result.refused;
            return;
        }
        ++result.answered;
        result.fair_answered += asked.is_flood ? 0 : 1;
        if (!ended.is_straggler && !asked.is_long)
        {
            result.times.push_back(static_cast<double>((loop.now() - asked.arrived).count()));
        }
        const bool is_in_time = loop.now() <= base::time_point{offered.length};
        result.good_busy_us += is_in_time ? static_cast<double>(asked.work.count()) : 0;
    }

    workload source_;
};

/// One queue over all slots, known at once to everyone.
class omniscient final : public simulation
{
public:
    using simulation::simulation;

private:
    void arrive(const job& asked) override
    {
        waiting_.push_back(asked);
        pump();
        if (waiting_.size() > queue_limit * plan.data_centres)
        {
            waiting_.pop_back();
            refuse();
        }
    }

    void finished(std::size_t /*host*/, std::size_t upstream) override
    {
        --held_[upstream];
        pump();
    }

    void pump()
    {
        held_.resize(plan.upstreams);
        while (!waiting_.empty())
        {
            const auto least = std::min_element(held_.begin(), held_.end());
            if (*least >= plan.slots)
            {
                return;
            }
            ++*least;
            send(waiting_.front(), static_cast<std::size_t>(least - held_.begin()), local_delay);
            waiting_.pop_front();
        }
    }

    std::deque<job> waiting_;
    std::vector<std::uint32_t> held_;
};

/// Each host takes the better of two random upstreams, by its own outstanding
/// requests and the last report.
class two_choices final : public simulation
{
public:
    two_choices(const shape& size, const load& demand)
        : simulation{size, demand}, reported_(size.upstreams, 0),
          outstanding_(plan.hosts, std::vector<std::uint32_t>(plan.upstreams, 0))
    {
        report();
    }

private:
    void report()
    {
        for (std::size_t u = 0; u < plan.upstreams; ++u)
        {
            reported_[u] = upstreams[u]->load_now();
        }
        result.control_bytes += report_bytes * plan.upstreams * plan.hosts;
        if (loop.now() < base::time_point{offered.length})
        {
            loop.after(report_interval, [this] { report(); });
        }
    }

    void arrive(const job& asked) override
    {
        const std::size_t a = random.below(plan.upstreams);
        const std::size_t b = random.below(plan.upstreams);
        const auto weight = [&](std::size_t u) { return outstanding_[asked.host][u] + reported_[u]; };
        const std::size_t chosen = weight(a) <= weight(b) ? a : b;
        ++outstanding_[asked.host][chosen];
        send(asked, chosen, leg(asked.host, chosen));
    }

    void finished(std::size_t host, std::size_t upstream) override { --outstanding_[host][upstream]; }

    std::vector<std::uint32_t> reported_;
    std::vector<std::vector<std::uint32_t>> outstanding_;
};

/// Each host holds a share of the slots and a queue of its own.
class leased_slots final : public simulation
{
public:
    leased_slots(const shape& size, const load& demand) : simulation{size, demand}, hosts_(size.hosts)
    {
        for (std::uint32_t slot = 0; slot < plan.capacity(); ++slot)
        {
            hosts_[slot % plan.hosts].free.push_back(slot / plan.slots);
        }
        if (offered.hosts_disagree && plan.hosts > 1)
        {
            share_out_again();
        }
        const auto seconds = static_cast<std::uint64_t>(offered.length / 1s);
        result.control_bytes = lease_bytes * plan.capacity() * seconds;
    }

private:
    struct host_queue
    {
        std::vector<std::size_t> free;
        std::deque<job> waiting;
    };

    /// Half of the hosts take the last one for dead and divide its slots.
    void share_out_again()
    {
        const auto slots = hosts_.back().free;
        for (std::size_t i = 0; i < slots.size(); ++i)
        {
            hosts_[i % std::max<std::size_t>(1, plan.hosts / 2)].free.push_back(slots[i]);
        }
    }

    void arrive(const job& asked) override
    {
        auto& queue = hosts_[asked.host].waiting;
        if (queue.size() >= queue_limit * plan.data_centres / plan.hosts)
        {
            refuse();
            return;
        }
        queue.push_back(asked);
        pump(asked.host);
    }

    void finished(std::size_t host, std::size_t upstream) override
    {
        hosts_[host].free.push_back(upstream);
        pump(host);
    }

    void pump(std::size_t host)
    {
        auto& own = hosts_[host];
        while (!own.waiting.empty() && !own.free.empty())
        {
            const std::size_t upstream = own.free.front();
            own.free.erase(own.free.begin());
            send(own.waiting.front(), upstream, leg(host, upstream));
            own.waiting.pop_front();
        }
    }

    std::vector<host_queue> hosts_;
};

/// Upstreams tell a random host of each idle slot; a host without such a notice
/// probes two.
class join_idle final : public simulation
{
public:
    join_idle(const shape& size, const load& demand) : simulation{size, demand}, notices_(size.hosts)
    {
        for (std::size_t u = 0; u < plan.upstreams; ++u)
        {
            upstreams[u]->on_idle = [this, u] { announce(u); };
            for (std::uint32_t s = 0; s < plan.slots; ++s)
            {
                announce(u);
            }
        }
    }

private:
    void announce(std::size_t upstream)
    {
        const std::size_t host = random.below(plan.hosts);
        result.control_bytes += idle_notice_bytes;
        loop.after(leg(host, upstream), [this, host, upstream] { notices_[host].push_back(upstream); });
    }

    void arrive(const job& asked) override
    {
        auto& notices = notices_[asked.host];
        if (!notices.empty())
        {
            const std::size_t upstream = notices.front();
            notices.pop_front();
            send(asked, upstream, leg(asked.host, upstream));
            return;
        }
        const std::size_t a = random.below(plan.upstreams);
        const std::size_t b = random.below(plan.upstreams);
        const std::size_t chosen = upstreams[a]->load_now() <= upstreams[b]->load_now() ? a : b;
        result.control_bytes += 2 * 2 * idle_notice_bytes;
        // The probes' way there and back comes before the request's.
        const base::duration probing = 2 * std::max(leg(asked.host, a), leg(asked.host, b));
        loop.after(probing, [this, asked, chosen] { send(asked, chosen, leg(asked.host, chosen)); });
    }

    std::vector<std::deque<std::size_t>> notices_;
};

} // namespace

outcome run_omniscient(const shape& plan, const load& offered)
{
    return omniscient{plan, offered}.play();
}
outcome run_two_choices(const shape& plan, const load& offered)
{
    return two_choices{plan, offered}.play();
}
outcome run_leased_slots(const shape& plan, const load& offered)
{
    return leased_slots{plan, offered}.play();
}
outcome run_join_idle(const shape& plan, const load& offered)
{
    return join_idle{plan, offered}.play();
}

} // namespace galenabay::bench
