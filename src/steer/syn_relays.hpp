#pragma once

#include <galenabay/base/random.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/steer/packet_header.hpp>

#include <algorithm>
#include <bitset>
#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace galenabay::steer
{

/// Which SYNs this host passes on to others, and those that it has passed on. The limits keep the
/// traffic of relaying small and refuse at once what the starting upstreams certainly cannot take.
/// Does no I/O and reads no clock; not thread-safe; owned by the `steerer`.
class syn_relays
{
public:
    /// Times that a SYN may be passed on. With three, a SYN reaches four of the hosts that have shares;
    /// a fourth changed the rate at which a service opens by less than 0.01.
    static constexpr std::uint8_t max_passes = 3;
    /// Largest data of a SYN that is passed on, in bytes; a datagram then has at most 80 bytes.
    static constexpr std::uint16_t max_data_size = 16;
    /// Datagrams a second that a host receives and sends on average, and the largest number that it
    /// sends at once: at most 25 in any second, which is 2 KB.
    static constexpr double datagrams_per_second = 17;
    static constexpr double burst = 8;
    /// New flows that all hosts together pass on for each flow that the starting upstreams take. A
    /// part of them comes to hosts whose tokens are used; more than twice as many cannot be served.
    static constexpr double offered_part = 2;
    /// Time for which a flow is remembered: a caller sends the last copy of a SYN 600 ms after the first.
    static constexpr base::duration memory = std::chrono::seconds{2};

    /// Returns true when a new flow of a caller may be passed on. Call it for each new flow, also for those that
    /// need not be passed on: with budgets that are full when a service opens, each of 1,000 hosts would
    /// send the holders a flow at once. `rate`: this host's part of the flows a second that the upstreams of the
    /// service take while they are starting.
    bool take_new_flow(const std::string& service, double rate, base::random_source& random, base::time_point now)
    {
        const double part = offered_part * rate;
        const double depth = std::max(1.0, part);
        const auto [row, is_new] = budgets_.try_emplace(service);
        if (is_new)
        {
            row->second = {.tokens = depth - 1 + random.unit(), .at = now};
        }
        return row->second.take(part, depth, now);
    }

    /// Returns true when a datagram may be sent, and counts it.
    bool take_datagram(base::time_point now) { return datagrams_.take(datagrams_per_second, burst, now); }
    /// Counts a received datagram.
    void count_received(base::time_point now)
    {
        datagrams_.refill(datagrams_per_second, burst, now);
        datagrams_.tokens = std::max(datagrams_.tokens - 1, -burst);
    }

    /// Records that a copy of the flow's SYN was passed on that could be passed on `passes` times.
    void record(const flow_key& flow, std::uint8_t passes, base::time_point now)
    {
        auto& row = passed_on_[flow];
        row.passes.set(passes);
        row.at = now;
    }
    /// Returns true when such a copy was passed on. One that has come back to this host can be passed on
    /// less often, and is no other copy of it.
    bool was_passed_on(const flow_key& flow, std::uint8_t passes, base::time_point now) const
    {
        const auto found = passed_on_.find(flow);
        return found != passed_on_.end() && now - found->second.at < memory && found->second.passes.test(passes);
    }
    /// Forgets flows that were passed on before `memory`.
    void expire(base::time_point now)
    {
        std::erase_if(passed_on_, [&](const auto& row) { return now - row.second.at >= memory; });
    }

private:
    struct passed_on_flow
    {
        std::bitset<max_passes + 1> passes;
        base::time_point at{};
    };
    /// Unlike `base::token_bucket`, its rate may change with each call and be a fraction, and it may be in debt.
    struct variable_bucket
    {
        double tokens = 0;
        base::time_point at{};

        void refill(double rate, double depth, base::time_point now)
        {
            const std::chrono::duration<double> passed = now - at;
            tokens = std::min(depth, tokens + passed.count() * rate);
            at = now;
        }
        bool take(double rate, double depth, base::time_point now)
        {
            refill(rate, depth, now);
            if (tokens < 1)
            {
                return false;
            }
            --tokens;
            return true;
        }
    };

    variable_bucket datagrams_;
    /// By service.
    std::unordered_map<std::string, variable_bucket> budgets_;
    std::unordered_map<flow_key, passed_on_flow> passed_on_;
};

} // namespace galenabay::steer
