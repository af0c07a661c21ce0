#pragma once

#include "late_sums.hpp"

#include <galenabay/base/random.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>
#include <vector>

namespace galenabay::steer::test
{

/// Hosts of two data centres, upstreams with slots and a queue, and callers that try three times, in
/// virtual time. Sums and loads of the hosts are `sum_delay` to `sum_delay` + 0.5 s old.
class queueing_fleet
{
public:
    struct plan
    {
        /// Two routes of urgency 0 and 1; equal and without an answer target when off.
        bool has_admission = true;
        /// Sums are lost from the start of the burst on.
        bool loses_sums = false;
        bool counts_rejections = true;
        base::duration sum_delay = 500ms;
        /// Loads of upstreams are as late as the sums, so that hosts select the same ones at the same time.
        bool has_late_loads = false;
        /// The first less urgent caller opens ten times as many flows as the others.
        bool has_heavy_caller = false;
        /// Demand of the routes before the burst, relative to the capacity.
        std::array<double, 2> demand{0.35, 0.3};
        double burst = 4;
        /// From a second after the begin of the burst on, 85 of 100 flows go through hosts of one data centre.
        bool moves_demand = false;
        /// One host is killed a second after the begin of the burst.
        bool loses_host = false;
        /// Half of the upstreams take no new flows for 10 s from the begin of the burst on.
        bool loses_upstreams = false;
        std::size_t upstreams = 6;
        std::size_t hosts = 8;
        std::uint64_t seed = 5;
    };
    static constexpr base::duration burst_begin = 4s;
    static constexpr base::duration burst_end = 12s;
    static constexpr base::duration end = 16s;
    /// When the estimates of the capacity have seen the burst.
    static constexpr base::duration settled = burst_begin + 2s;
    static constexpr std::size_t urgent_callers = 40;
    static constexpr std::size_t callers = 140;

    /// Counts of a span of time, by urgency where there are two.
    struct counts
    {
        std::array<double, 2> requests{};
        /// Answered within the answer target of the first try.
        std::array<double, 2> in_time{};
        double arrivals = 0;
        double rejected = 0;
        double served = 0;
        double refused = 0;
        /// Answered after the answer target, and within the deadline.
        std::array<double, 2> late{};

        /// What the answers of a rank are worth to the callers, relative to that of answers in time.
        double worth(std::size_t rank) const { return (in_time[rank] + late_worth * late[rank]) / requests[rank]; }
        /// The same for both ranks, of which an urgent request counts twice.
        double total_worth() const { return 2 * worth(0) * requests[0] + worth(1) * requests[1]; }
    };
    /// Worth of a late answer, relative to that of one in time.
    static constexpr double late_worth = 0.3;

    explicit queueing_fleet(plan chosen)
        : plan_{chosen}, random_{chosen.seed}, upstreams_(chosen.upstreams), sums_{hosts_, tokens_, chosen.sum_delay}
    {
        std::vector<upstream_entry> entries;
        for (std::size_t i = 0; i < plan_.upstreams; ++i)
        {
            entries.push_back(make_upstream("u" + std::to_string(i), i + 1));
            entries.back().slots = slots;
            entries.back().data_centre = i % 2 == 0 ? "east" : "west";
        }
        auto routes = make_configuration(1);
        routes.routes.push_back(routes.routes.front());
        routes.routes.back().port = service_port + 1;
        if (plan_.has_admission)
        {
            routes.routes.back().urgency = 1;
            routes.routes.front().answer_target = answer_target;
            routes.routes.back().answer_target = answer_target;
        }
        for (std::size_t i = 0; i < plan_.hosts; ++i)
        {
            const auto* centre = i % 2 == 0 ? "east" : "west";
            hosts_.push_back(std::make_unique<steerer>(steering_options{.data_centre = centre}, 100 + i));
            hosts_.back()->on_configuration(routes);
            hosts_.back()->on_upstream_list(entries, {}, at(0s));
            serve_some(*hosts_.back());
        }
        entries_ = entries;
        for (std::size_t i = 0; i < plan_.upstreams; ++i)
        {
            tokens_.push_back(token_of(entries[i]));
            index_[tokens_.back()] = i;
        }
        in_time_by_caller.resize(callers);
        consecutive_.resize(callers);
    }

    void run()
    {
        if (plan_.loses_upstreams)
        {
            schedule(burst_begin, [this] { set_draining(true); });
            schedule(burst_begin + 10s, [this] { set_draining(false); });
        }
        for (std::size_t caller = 0; caller < callers; ++caller)
        {
            schedule(next_arrival(caller), [this, caller] { on_arrival(caller); });
        }
        for (std::size_t i = 0; i < plan_.hosts; ++i)
        {
            schedule(i * 13ms, [this, i] { on_host_tick(i); });
        }
        while (!events_.empty() && events_.top().time < end)
        {
            const auto next = events_.top();
            events_.pop();
            now_ = next.time;
            next.act();
        }
        for (std::size_t i = 0; i < plan_.hosts && plan_.has_admission; ++i)
        {
            const auto refused = hosts_[i]->admissions().of(0).take_refused_with_free_slots();
            refused_with_free_slots += static_cast<double>(refused);
        }
    }

    /// New flows per second that the upstreams can take.
    double capacity() const { return static_cast<double>(plan_.upstreams) * slots / 0.0175; }
    counts between(base::duration from, base::duration to) const
    {
        counts sum;
        for (auto slot = from / slot_time; slot < to / slot_time; ++slot)
        {
            const auto& part = counts_[static_cast<std::size_t>(slot)];
            for (std::size_t rank = 0; rank < 2; ++rank)
            {
                sum.requests[rank] += part.requests[rank];
                sum.in_time[rank] += part.in_time[rank];
                sum.late[rank] += part.late[rank];
            }
            sum.arrivals += part.arrivals;
            sum.rejected += part.rejected;
            sum.served += part.served;
            sum.refused += part.refused;
        }
        return sum;
    }

    /// Flows that were refused while by the sums that their host knew, slots were free.
    double refused_with_free_slots = 0;
    /// Flows that were refused while upstreams processed or queued fewer requests than they had slots.
    double refused_untruly = 0;
    std::vector<double> in_time_by_caller;
    /// Largest number of flows in a row that one caller, other than the heavy one, was refused.
    std::size_t longest_refusals = 0;
    /// Differences between the open requests per slot that the first host derives and those of the
    /// moment, outside the two seconds after the begin and the end of the burst.
    std::vector<double> room_errors;
    /// Less urgent flows during the burst, by data centre of the host.
    std::array<double, 2> offered_by_centre{};
    std::array<double, 2> refused_by_centre{};

private:
    static constexpr std::uint32_t slots = 2;
    static constexpr std::size_t queue = 8;
    static constexpr base::duration answer_target = 400ms;
    static constexpr base::duration deadline = 2s;
    static constexpr std::uint32_t answer_size = 2'000;
    static constexpr std::uint32_t rejection_size = 40;
    static constexpr base::duration slot_time = 100ms;

    struct event
    {
        base::duration time;
        std::uint64_t number;
        std::function<void()> act;
        bool operator<(const event& other) const
        {
            return std::pair{other.time, other.number} < std::pair{time, number};
        }
    };
    struct upstream
    {
        std::array<base::duration, slots> free_at{};
        std::size_t waiting = 0;
    };
    struct request
    {
        std::size_t caller;
        base::duration begun;
        std::size_t tries = 0;
    };

    counts& current() { return counts_[static_cast<std::size_t>(now_ / slot_time)]; }
    counts& counts_of(const request& one) { return counts_[static_cast<std::size_t>(one.begun / slot_time)]; }
    static std::size_t rank_of(std::size_t caller) { return caller < urgent_callers ? 0 : 1; }
    bool is_burst() const { return now_ >= burst_begin && now_ < burst_end; }
    void schedule(base::duration delay, std::function<void()> act)
    {
        events_.push({now_ + delay, ++events_added_, std::move(act)});
    }

    base::duration next_arrival(std::size_t caller)
    {
        const bool is_urgent = rank_of(caller) == 0;
        const double part = is_urgent ? plan_.demand[0] / urgent_callers : plan_.demand[1] / (callers - urgent_callers);
        double rate = capacity() * part * (!is_urgent && is_burst() ? plan_.burst : 1);
        rate *= plan_.has_heavy_caller && caller == urgent_callers ? 10 : 1;
        const auto wait = std::chrono::duration<double>(-std::log(1 - random_.unit()) / rate);
        // A rate that changes soon is drawn again, so that the burst begins and ends at once.
        return std::min(std::chrono::duration_cast<base::duration>(wait), base::duration{200ms});
    }

    void on_arrival(std::size_t caller)
    {
        const auto wait = next_arrival(caller);
        schedule(wait, [this, caller] { on_arrival(caller); });
        if (wait >= 200ms)
        {
            return;
        }
        schedule(wait,
                 [this, caller]
                 {
                     current().requests[rank_of(caller)] += 1;
                     try_once({.caller = caller, .begun = now_});
                 });
    }

    void try_again(request one)
    {
        if (++one.tries < 3)
        {
            schedule(50ms + base::duration{random_.below(100'000)}, [this, one] { try_once(one); });
        }
    }

    void try_once(request one)
    {
        const auto host = pick_host();
        auto header = syn(++port_);
        header.flow.caller_address = 0x64400000U + static_cast<std::uint32_t>(one.caller);
        header.flow.service_port += static_cast<std::uint16_t>(rank_of(one.caller));
        const auto decision = hosts_[host]->on_packet(header, at(now_));
        const bool is_refused = decision.action != steering_action::forward;
        count_decision(one, host, is_refused);
        if (is_refused)
        {
            try_again(one);
            return;
        }
        header.syn = false;
        header.token = decision.token;
        header.data_size = 100;
        header.sequence = 1;
        header.acknowledged = 1;
        schedule(1ms, [this, one, host, header] { on_request(one, host, header); });
    }

    bool is_moved() const { return plan_.moves_demand && now_ >= burst_begin + 1s && now_ < burst_end; }
    bool is_alive(std::size_t host) const { return !plan_.loses_host || host != 1 || now_ < burst_begin + 1s; }
    std::size_t pick_host()
    {
        const bool is_east = is_moved() && random_.unit() < 0.7;
        const auto host = random_.below(plan_.hosts);
        const auto moved = is_east ? host - host % 2 : host;
        return is_alive(moved) ? moved : 0;
    }

    /// A host that has just started does not know yet that flows carry one request, and what a rejection is.
    void serve_some(steerer& host)
    {
        for (int i = 0; i < 64; ++i)
        {
            const auto token = host.on_packet(syn(++port_), at(0s)).token;
            host.on_packet(data(port_, token, 1, 1), at(0s));
            host.on_packet(fin(port_, token, 101, 1 + answer_size), at(18ms));
        }
    }

    void set_draining(bool is_draining)
    {
        for (std::size_t i = 0; i < entries_.size() / 2; ++i)
        {
            entries_[i].draining = is_draining;
            ++entries_[i].revision.number;
            for (const auto& host : hosts_)
            {
                host->on_upstream(entries_[i], at(now_));
            }
        }
    }

    void pass(std::size_t host, const packet_header& header)
    {
        if (is_alive(host))
        {
            hosts_[host]->on_packet(header, at(now_));
        }
    }

    bool has_free_slots() const
    {
        std::size_t requests = 0;
        std::size_t room = 0;
        for (std::size_t i = 0; i < upstreams_.size(); ++i)
        {
            const auto& one = upstreams_[i];
            const auto busy = [&](base::duration free_at) { return free_at > now_; };
            requests +=
                one.waiting + static_cast<std::size_t>(std::count_if(one.free_at.begin(), one.free_at.end(), busy));
            room += entries_[i].draining ? 0 : slots;
        }
        return requests < room;
    }

    void count_decision(const request& one, std::size_t host, bool is_refused)
    {
        current().refused += is_refused ? 1 : 0;
        refused_untruly += is_refused && has_free_slots() ? 1 : 0;
        auto& consecutive = consecutive_[one.caller];
        consecutive = is_refused && now_ >= settled ? consecutive + 1 : 0;
        const bool is_heavy = plan_.has_heavy_caller && one.caller == urgent_callers;
        longest_refusals = std::max(longest_refusals, is_heavy ? 0 : consecutive);
        if (is_burst() && rank_of(one.caller) == 1)
        {
            offered_by_centre[host % 2] += 1;
            refused_by_centre[host % 2] += is_refused ? 1 : 0;
        }
    }

    void on_request(request one, std::size_t host, packet_header header)
    {
        pass(host, header);
        header.acknowledged += answer_size;
        header.data_size = 0;
        header.fin = true;
        auto& to = upstreams_[index_.at(header.token)];
        current().arrivals += 1;
        auto& slot = *std::min_element(to.free_at.begin(), to.free_at.end());
        if (slot > now_ && to.waiting >= queue)
        {
            current().rejected += 1;
            header.acknowledged -= plan_.counts_rejections ? answer_size - rejection_size : 0;
            pass(host, header);
            try_again(one);
            return;
        }
        if (slot > now_)
        {
            ++to.waiting;
            schedule(slot - now_, [&to] { --to.waiting; });
        }
        slot = std::max(slot, now_) + 15ms + base::duration{random_.below(5'000)};
        schedule(slot - now_,
                 [this, one, host, header]
                 {
                     current().served += 1;
                     pass(host, header);
                     counts_of(one).late[rank_of(one.caller)] +=
                         now_ - one.begun > answer_target && now_ - one.begun <= deadline ? 1 : 0;
                     if (now_ - one.begun <= answer_target)
                     {
                         counts_of(one).in_time[rank_of(one.caller)] += 1;
                         in_time_by_caller[one.caller] += one.begun >= burst_begin && one.begun < burst_end ? 1 : 0;
                     }
                 });
    }

    void on_host_tick(std::size_t i)
    {
        if (!is_alive(i))
        {
            return;
        }
        schedule(100ms, [this, i] { on_host_tick(i); });
        auto& host = *hosts_[i];
        host.on_tick(at(now_));
        sums_.report(i, now_);
        apply_sums(i);
    }

    void apply_sums(std::size_t i)
    {
        const auto sums = sums_.apply(i, plan_.has_late_loads, now_);
        const bool is_changing =
            (now_ >= burst_begin && now_ < settled) || (now_ >= burst_end && now_ < burst_end + 2s);
        if (i == 0 && plan_.has_admission && sums.hosts == plan_.hosts && !is_changing)
        {
            const auto measured = hosts_[0]->room_of(0, sums, at(now_)).fleet;
            double open = 0;
            for (const auto token : tokens_)
            {
                for (const auto& host : hosts_)
                {
                    open += host->registry().find(token)->open_requests;
                }
            }
            room_errors.push_back((measured.open_requests - open) / measured.slots);
        }
        const bool is_lost = plan_.loses_sums && now_ >= burst_begin + 3s;
        hosts_[i]->on_demands(is_lost ? std::nullopt : std::optional{sums}, at(now_));
    }

    plan plan_;
    base::random_source random_;
    std::vector<upstream> upstreams_;
    std::vector<std::unique_ptr<steerer>> hosts_;
    std::vector<upstream_token> tokens_;
    std::unordered_map<upstream_token, std::size_t> index_;
    late_sums sums_;
    std::vector<upstream_entry> entries_;
    std::vector<std::size_t> consecutive_;
    std::array<counts, static_cast<std::size_t>(end / slot_time) + 1> counts_{};
    std::priority_queue<event> events_;
    std::uint64_t events_added_ = 0;
    std::uint16_t port_ = 0;
    base::duration now_{0};
};

} // namespace galenabay::steer::test
