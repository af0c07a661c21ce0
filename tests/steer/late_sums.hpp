#pragma once

#include "steer_fixture.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <utility>
#include <vector>

namespace galenabay::steer::test
{

/// Reports of the hosts of two data centres and their sums, which arrive `delay` to `delay` + 0.5 s late. Hosts
/// with an even number are in the first data centre. Refers to the hosts and to the upstreams' tokens.
class late_sums
{
public:
    late_sums(const std::vector<std::unique_ptr<steerer>>& hosts, const std::vector<upstream_token>& tokens,
              base::duration delay)
        : hosts_{hosts}, tokens_{tokens}, delay_{delay}
    {
    }

    /// Makes a host's report when one is due.
    void report(std::size_t i, base::duration now)
    {
        reports_.resize(hosts_.size());
        auto& reports = reports_[i];
        if (!reports.empty() && now - reports.back().time < 500ms)
        {
            return;
        }
        reports.push_back({.time = now, .demands = hosts_[i]->report_demands(at(now)), .loads = loads_of(*hosts_[i])});
    }

    /// Tells a host the loads of the upstreams, late or those of the moment, and returns the demands that it knows.
    fleet_demand apply(std::size_t i, bool has_late_loads, base::duration now)
    {
        // Collectors send sums every 0.5 s; the ages of what arrives differ by as much already.
        if (now - summed_at_ >= 20ms)
        {
            add_up(now);
        }
        auto sums = sums_;
        i % 2 == 1 ? std::swap(sums.local, sums.remote) : void();
        std::vector<steerer::remote_view> views(tokens_.size());
        for (std::size_t u = 0; u < tokens_.size(); ++u)
        {
            if (has_late_loads)
            {
                const auto own = used_[i] == nullptr ? steerer::remote_view{} : used_[i]->loads[u];
                views[u] = {.flows = loads_[u].flows - own.flows,
                            .open_requests = loads_[u].open_requests - own.open_requests,
                            .answered_ago = {}};
            }
            for (std::size_t other = 0; other < hosts_.size() && !has_late_loads; ++other)
            {
                const auto* live = hosts_[other]->registry().find(tokens_[u]);
                views[u].flows += other != i ? live->flows : 0;
                views[u].open_requests += other != i ? live->open_requests : 0;
            }
            hosts_[i]->on_remote_view(tokens_[u], views[u], at(now));
        }
        return sums;
    }

private:
    struct host_report
    {
        base::duration time;
        std::vector<service_demand> demands;
        std::vector<steerer::remote_view> loads;
    };

    std::vector<steerer::remote_view> loads_of(steerer& host) const
    {
        std::vector<steerer::remote_view> loads;
        for (const auto token : tokens_)
        {
            const auto* known = host.registry().find(token);
            loads.push_back({.flows = known->flows, .open_requests = known->open_requests, .answered_ago = {}});
        }
        return loads;
    }

    /// Brings the sums up to date, which all hosts share. Those of a dead host stay for 1.6 s.
    void add_up(base::duration now)
    {
        summed_at_ = now;
        sums_ = {};
        loads_.assign(tokens_.size(), {});
        used_.assign(hosts_.size(), nullptr);
        for (std::size_t i = 0; i < hosts_.size(); ++i)
        {
            const auto& reports = reports_[i];
            const auto known = std::find_if(reports.rbegin(), reports.rend(),
                                            [&](const host_report& one) { return one.time <= now - delay_; });
            if (known == reports.rend() || now - known->time > delay_ + 1600ms)
            {
                continue;
            }
            used_[i] = &*known;
            ++sums_.hosts;
            auto& sum = i % 2 == 0 ? sums_.local : sums_.remote;
            sum.age = std::max(sum.age, now - known->time);
            for (const auto& demand : known->demands)
            {
                sum.add(demand);
            }
            for (std::size_t u = 0; u < tokens_.size(); ++u)
            {
                loads_[u].flows += known->loads[u].flows;
                loads_[u].open_requests += known->loads[u].open_requests;
            }
        }
    }

    const std::vector<std::unique_ptr<steerer>>& hosts_;
    const std::vector<upstream_token>& tokens_;
    base::duration delay_;
    std::vector<std::deque<host_report>> reports_;
    /// Sums of the reports, when they were added up, and each host's report in them.
    base::duration summed_at_{-1s};
    fleet_demand sums_;
    std::vector<steerer::remote_view> loads_;
    std::vector<const host_report*> used_;
};

} // namespace galenabay::steer::test
