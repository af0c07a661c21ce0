#pragma once

#include "steer_fixture.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <numeric>
#include <set>
#include <vector>

namespace galenabay::steer::test
{

/// The SYNs that went to starting incarnations, and those that hosts passed on to one another.
class syn_record
{
public:
    /// Records a SYN of the flow from `port` that reaches an incarnation at `time`.
    void on_forwarded(upstream_token token, std::uint16_t port, base::duration time)
    {
        syns_[token].push_back(time);
        auto& flow = flows_[port];
        if (time - flow.last > 5s)
        {
            flow.tokens.clear();
        }
        flow.last = time;
        opened_twice_ += flow.tokens.insert(token).second && flow.tokens.size() == 2 ? 1 : 0;
    }
    /// Records a datagram that a host sends or receives.
    void on_datagram(std::size_t host, base::duration time) { datagrams_[host].push_back(time); }

    /// Number of times that an incarnation got more than `bound` SYNs within a second of its warm-up.
    int violations(double bound) const
    {
        int found = 0;
        for (auto [token, times] : syns_)
        {
            for (const auto count : counts_in_a_second(std::move(times)))
            {
                found += static_cast<double>(count) > bound ? 1 : 0;
            }
        }
        return found;
    }
    /// Number of SYNs that went to starting incarnations.
    std::size_t admitted() const
    {
        return std::accumulate(syns_.begin(), syns_.end(), std::size_t{0},
                               [](std::size_t sum, const auto& row) { return sum + row.second.size(); });
    }
    /// Flows whose SYNs went to two starting incarnations.
    int opened_twice() const { return opened_twice_; }
    /// Number of datagrams that hosts sent and received.
    std::size_t datagrams() const
    {
        return std::accumulate(datagrams_.begin(), datagrams_.end(), std::size_t{0},
                               [](std::size_t sum, const auto& row) { return sum + row.second.size(); });
    }
    /// Largest number of datagrams that a host sent and received within a second.
    std::size_t most_datagrams() const
    {
        std::size_t most = 0;
        for (auto [host, times] : datagrams_)
        {
            const auto counts = counts_in_a_second(std::move(times));
            most = std::max(most, *std::max_element(counts.begin(), counts.end()));
        }
        return most;
    }

private:
    struct opened_flow
    {
        std::set<upstream_token> tokens;
        base::duration last{-1h};
    };

    /// Returns the number of events in the second that ends with each one.
    static std::vector<std::size_t> counts_in_a_second(std::vector<base::duration> times)
    {
        std::sort(times.begin(), times.end());
        std::vector<std::size_t> counts;
        for (std::size_t first = 0, last = 0; last < times.size(); ++last)
        {
            while (times[last] - times[first] >= 1s)
            {
                ++first;
            }
            counts.push_back(last - first + 1);
        }
        return counts;
    }

    std::map<upstream_token, std::vector<base::duration>> syns_;
    std::map<std::uint16_t, opened_flow> flows_;
    std::map<std::size_t, std::vector<base::duration>> datagrams_;
    int opened_twice_ = 0;
};

} // namespace galenabay::steer::test
