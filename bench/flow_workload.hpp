#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/random.hpp>
#include <galenabay/base/time.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace galenabay::bench
{

struct workload_settings
{
    std::uint64_t seed = 1;
    /// Flows that stay open and send once in 30 to 60 s.
    std::size_t idle_flows = 100'000;
    /// Flows that end after a while and are replaced by new ones.
    std::size_t busy_flows = 100'000;
    /// Packets of a busy flow before it ends; with the gap it gives the rate of
    /// new flows.
    std::uint32_t packets_per_busy_flow = 16;
    base::duration busy_gap{2'000'000};
};

/// One flow of the workload.
struct workload_flow
{
    std::uint32_t number = 0;
    std::uint32_t sent = 0;
    bool idle = false;
    /// Index of the service that the caller uses.
    std::uint8_t service = 0;
};

/// Open-loop callers: 200,000 flows, half of them idle, the others short-lived,
/// in virtual time. The sequence depends on the seed alone.
class flow_workload
{
public:
    static constexpr base::duration step{100'000};

    explicit flow_workload(workload_settings settings)
        : settings_{settings}, random_{settings.seed}, timing_wheel_(wheel_slots)
    {
        for (std::size_t i = 0; i < settings_.idle_flows + settings_.busy_flows; ++i)
        {
            flows_.push_back(make_flow(i < settings_.idle_flows));
            // Idle flows open over the first half minute, busy ones are spread over one gap.
            schedule(i, flows_[i].idle ? random_.below(300) : random_.below(20));
        }
    }

    static base::endpoint caller_of(const workload_flow& flow)
    {
        return base::endpoint::make_v4(0x0b000000 + flow.number,
                                       static_cast<std::uint16_t>(1024 + flow.number % 60000));
    }

    std::vector<workload_flow>& flows() noexcept { return flows_; }

    /// Sends the packets of the next step: `send(index, flow)`. `restart(index)`
    /// is called when a flow has ended and a new one takes its place.
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
    static constexpr std::size_t wheel_slots = 1024;

    workload_flow make_flow(bool idle)
    {
        workload_flow flow;
        flow.number = ++last_flow_number_;
        flow.idle = idle;
        flow.service = random_.below(9) < 7 ? 0 : 1;
        return flow;
    }

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
    std::vector<std::vector<std::uint32_t>> timing_wheel_;
    std::vector<workload_flow> flows_;
    std::uint64_t current_step_ = 0;
    std::uint32_t last_flow_number_ = 0;
};

} // namespace galenabay::bench
