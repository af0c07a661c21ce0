#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/random.hpp>
#include <galenabay/base/time.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace galenabay::bench
{

/// Seed, number of flows and packet rate of a `flow_workload`. Plain value.
struct workload_settings
{
    std::uint64_t seed = 1;
    /// Number of flows that stay open and send one packet every 30 to 60 s.
    std::size_t idle_flows = 100'000;
    /// Number of flows that end after `packets_per_busy_flow` packets and are
    /// replaced by new ones.
    std::size_t busy_flows = 100'000;
    /// Together with `busy_gap` this determines the rate of new flows.
    std::uint32_t packets_per_busy_flow = 16;
    /// Mean time between two packets of a busy flow.
    base::duration busy_gap{2'000'000};
};

/// One flow of the workload. Plain value.
struct workload_flow
{
    /// Unique number; the caller's endpoint follows from it.
    std::uint32_t number = 0;
    /// Packets sent so far.
    std::uint32_t sent = 0;
    bool idle = false;
    /// Index of the service to which the flow sends.
    std::uint8_t service = 0;
};

/// Open-loop load from callers in virtual time: by default 200,000 flows, half of
/// them idle and the others short-lived. The sequence of packets depends on the
/// seed alone.
class flow_workload
{
public:
    /// Virtual time between two calls of `run_step`.
    static constexpr base::duration step{100'000};

    explicit flow_workload(workload_settings settings)
        : settings_{settings}, random_{settings.seed}, timing_wheel_(wheel_slots)
    {
        for (std::size_t i = 0; i < settings_.idle_flows + settings_.busy_flows; ++i)
        {
            flows_.push_back(make_flow(i < settings_.idle_flows));
            // Idle flows open over the first 30 s, busy flows over 2 s, the default gap.
            schedule(i, flows_[i].idle ? random_.below(300) : random_.below(20));
        }
    }

    /// Returns the caller's endpoint, which is different for each flow.
    static base::endpoint caller_of(const workload_flow& flow)
    {
        return base::endpoint::make_v4(0x0b000000 + flow.number,
                                       static_cast<std::uint16_t>(1024 + flow.number % 60000));
    }

    std::vector<workload_flow>& flows() noexcept { return flows_; }

    /// Calls `send(index, flow)` for each packet of the next step, and
    /// `on_restart(index)` when the flow with this index has ended and a new one
    /// has taken its place.
    template <typename Send, typename OnRestart> void run_step(const Send& send, const OnRestart& on_restart)
    {
        auto due = std::move(timing_wheel_[current_step_ % wheel_slots]);
        timing_wheel_[current_step_ % wheel_slots].clear();
        for (const auto index : due)
        {
            auto& flow = flows_[index];
            send(index, flow);
            ++flow.sent;
            if (!flow.idle && flow.sent >= settings_.packets_per_busy_flow)
            {
                flow = make_flow(false);
                on_restart(index);
            }
            schedule(index, flow.idle ? 300 + random_.below(300) : random_gap_steps());
        }
        ++current_step_;
    }

private:
    /// Steps that the timing wheel covers; larger than the longest delay, 600 steps.
    static constexpr std::size_t wheel_slots = 1024;

    /// Seven of nine flows use service 0, the others service 1.
    workload_flow make_flow(bool idle)
    {
        workload_flow flow;
        flow.number = ++last_flow_number_;
        flow.idle = idle;
        flow.service = random_.below(9) < 7 ? 0 : 1;
        return flow;
    }

    /// Returns a random gap of a busy flow in steps, between a half and one and a half
    /// of the mean.
    std::uint64_t random_gap_steps()
    {
        const auto mean = static_cast<std::uint64_t>(settings_.busy_gap / step);
        return mean / 2 + random_.below(mean);
    }

    void schedule(std::size_t index, std::uint64_t steps)
    {
        timing_wheel_[(current_step_ + 1 + steps) % wheel_slots].push_back(static_cast<std::uint32_t>(index));
    }

    workload_settings settings_;
    base::random_source random_;
    /// Indexes of the flows that send in each step, by step modulo `wheel_slots`.
    std::vector<std::vector<std::uint32_t>> timing_wheel_;
    std::vector<workload_flow> flows_;
    std::uint64_t current_step_ = 0;
    std::uint32_t last_flow_number_ = 0;
};

} // namespace galenabay::bench
