// Measures flow steering: decision time, memory, distribution and broken flows.
// Prints lines `NAME VALUE BOUND ok|short`; a bound of "-" means that there is none.

#include "flow_fleet.hpp"
#include "flow_workload.hpp"
#include "revision_maker.hpp"

#include "../src/flow/flow_table.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <map>
#include <string>
#include <vector>

namespace galenabay::bench
{

namespace
{

constexpr base::duration second{1'000'000};
/// Size of one host report in a heartbeat; it is sent twice a second to each of 8 peers.
constexpr std::uint64_t host_report_bytes = 96;
constexpr std::uint64_t reports_per_second = 16;

void print(const char* name, double value, double bound)
{
    std::printf("%s %.3f %.3f %s\n", name, value, bound, value <= bound ? "ok" : "short");
}

void print(const char* name, double value)
{
    std::printf("%s %.3f - ok\n", name, value);
}

/// Owns one `steering` instance in which `flows` flows are open.
class single_host
{
public:
    single_host(std::size_t flows, std::vector<config::service> services)
        : steering_{flow::steering_settings{"host-0", flows + flows / 2, 1}}, revisions_{std::move(services)}
    {
        steering_.on_revision(revisions_.current(), now_);
        for (std::size_t i = 0; i < flows; ++i)
        {
            send(i);
        }
    }

    /// Sends one packet of the flow with this number.
    flow::decision send(std::size_t flow)
    {
        const auto number = static_cast<std::uint32_t>(flow);
        const auto caller =
            base::endpoint::make_v4(0x0b000000 + number, static_cast<std::uint16_t>(1024 + flow % 50000));
        return steering_.on_packet(caller, revisions_.draft()[0].address, 0, now_);
    }

private:
    base::time_point now_{base::duration{1'000'000'000}};
    flow::steering steering_;
    revision_maker revisions_;
};

std::vector<config::service> example_services()
{
    return {make_service("parts", 5683, 1, 14), make_service("titles", 5684, 101, 4)};
}

double nanoseconds_per_decision(std::size_t flows)
{
    constexpr std::size_t decisions = 1'000'000;
    single_host host{flows, example_services()};
    base::random_source random{7};
    std::uint64_t sum = 0;
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < decisions; ++i)
    {
        sum += host.send(random.below(flows)).upstream;
    }
    const auto elapsed = std::chrono::steady_clock::now() - start;
    if (sum == 0)
    {
        std::printf("no packet was forwarded\n");
    }
    return static_cast<double>(std::chrono::duration_cast<std::chrono::nanoseconds>(elapsed).count()) / decisions;
}

/// Prints the decision time by number of open flows, and its growth per tenfold number.
void measure_decisions()
{
    const std::array<std::size_t, 4> sizes{1'000, 10'000, 100'000, 1'000'000};
    std::array<double, 4> decision_ns{};
    for (std::size_t i = 0; i < sizes.size(); ++i)
    {
        decision_ns[i] = nanoseconds_per_decision(sizes[i]);
        print(("flow_decision_ns_" + std::to_string(sizes[i])).c_str(), decision_ns[i]);
    }
    print("flow_decision_ns_per_decade", (decision_ns[3] - decision_ns[0]) / 3);
}

/// Prints the memory per flow of a full flow table.
void measure_memory()
{
    constexpr std::size_t capacity = 262'144;
    flow::flow_table table{capacity};
    base::random_source random{5};
    for (std::size_t i = 0; i < capacity; ++i)
    {
        table.insert(random(), base::time_point{base::duration{static_cast<std::int64_t>(i) * 1000}},
                     [](const flow::flow_entry&) { return false; });
    }
    print("flow_bytes_per_flow", static_cast<double>(table.memory_bytes()) / static_cast<double>(table.size()), 64);
}

/// Prints the longest CPU time to apply a revision with 4,100 services and 21,000
/// upstreams.
void measure_revision()
{
    constexpr std::size_t addresses = 4'100;
    constexpr std::size_t targets = 21'000;
    std::vector<config::service> services;
    for (std::size_t i = 0; i < addresses; ++i)
    {
        const auto first = targets * i / addresses;
        const auto count = targets * (i + 1) / addresses - first;
        auto service = make_service("service-" + std::to_string(i), 5683, static_cast<std::uint32_t>(first),
                                    static_cast<std::uint32_t>(count));
        service.address = base::endpoint::make_v4(0x0a800000 + static_cast<std::uint32_t>(i), 5683);
        services.push_back(std::move(service));
    }
    revision_maker revisions{services};
    flow::steering host{flow::steering_settings{"host-0", 262'144, 1}};
    host.on_revision(revisions.current(), base::time_point{second});
    constexpr int changes = 10;
    double max_ms = 0;
    for (int i = 0; i < changes; ++i)
    {
        revisions.draft()[static_cast<std::size_t>(i)].upstreams.front().draining = true;
        const auto& next = revisions.accept();
        const auto start = std::clock();
        host.on_revision(next, base::time_point{(2 + i) * second});
        max_ms = std::max(max_ms, 1000.0 * static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC);
    }
    print("flow_revision_cpu_ms_21000_targets", max_ms, 100);
}

/// Opens `flows` flows at one host; appends the upstream of each to `chosen` and
/// returns the number of flows of each upstream.
std::map<base::endpoint, std::size_t> choose_upstreams(std::size_t flows, std::vector<config::service> services,
                                                       std::vector<base::endpoint>& chosen)
{
    single_host host{flows, std::move(services)};
    std::map<base::endpoint, std::size_t> counts;
    for (std::size_t i = 0; i < flows; ++i)
    {
        chosen.push_back(host.send(i).upstream_endpoint);
        ++counts[chosen.back()];
    }
    return counts;
}

/// Prints the number of flows on the busiest upstream, and the number of flows that
/// choose another upstream when one is missing, both relative to the mean per upstream.
void measure_distribution()
{
    constexpr std::size_t flows = 200'000;
    std::vector<base::endpoint> before;
    std::vector<base::endpoint> after;
    const auto counts = choose_upstreams(flows, example_services(), before);
    std::size_t max_count = 0;
    for (const auto& [upstream, count] : counts)
    {
        max_count = std::max(max_count, count);
    }
    auto reduced_services = example_services();
    const auto upstreams = reduced_services[0].upstreams.size();
    reduced_services[0].upstreams.pop_back();
    choose_upstreams(flows, reduced_services, after);
    std::size_t moved = 0;
    for (std::size_t i = 0; i < flows; ++i)
    {
        moved += before[i] != after[i] ? 1 : 0;
    }
    const double ideal = static_cast<double>(flows) / static_cast<double>(upstreams);
    print("flow_moved_share_to_ideal", static_cast<double>(moved) / ideal, 1.2);
    print("flow_imbalance_max_to_mean", static_cast<double>(max_count) / ideal, 1.10);
}

/// Runs 9 hosts with 200,000 flows through planned changes and counts the flows that
/// change their upstream.
class planned_change_run
{
public:
    planned_change_run() : fleet_{make_settings()}, workload_{workload_settings{}}, revisions_{example_services()}
    {
        fleet_.publish(revisions_.current(), base::duration{0});
        upstreams_.resize(workload_.flows().size());
    }

    void run()
    {
        advance(70);
        replace_host("host_replaced", 7);
        auto& upstreams = revisions_.draft()[0].upstreams;
        change("add", [&] { upstreams.push_back(make_upstream(50)); });
        change("drain", [&] { upstreams[3].draining = true; });
        change("weight", [&] { upstreams[5].weight = 150; });
        change("remove", [&] { upstreams.erase(upstreams.begin() + 3); });
        // 30 s after the fourth change the hosts have not yet sent all their records.
        replace_host("host_replaced_after_changes", 4);
        print("flow_broken_per_planned_change", static_cast<double>(max_broken_per_change_), 0);
        print("flow_control_bytes_per_second_per_host", max_bytes_per_second_, 3072);
        print("flow_relayed_share", static_cast<double>(relayed_) / static_cast<double>(packets_));
        print("flow_undelivered_share", static_cast<double>(undelivered_) / static_cast<double>(packets_));
    }

private:
    static fleet_settings make_settings()
    {
        fleet_settings settings;
        settings.table_size = 1'048'576;
        settings.bytes_per_second = 3072 - host_report_bytes * reports_per_second;
        return settings;
    }

    template <typename Change> void change(const char* name, const Change& apply)
    {
        apply();
        fleet_.publish(revisions_.accept(), 10 * second);
        measure_change(name);
    }

    void replace_host(const char* name, std::size_t host)
    {
        const auto before = broken_;
        fleet_.leave(host);
        advance(6);
        fleet_.start(host);
        advance(24);
        print_broken(name, before);
    }

    void measure_change(const char* name)
    {
        const auto before = broken_;
        advance(30);
        print_broken(name, before);
    }

    void print_broken(const char* name, std::uint64_t before)
    {
        max_broken_per_change_ = std::max(max_broken_per_change_, broken_ - before);
        print((std::string{"flow_broken_"} + name).c_str(), static_cast<double>(broken_ - before), 0);
    }

    /// Runs fleet and workload, and records the peak of control bytes per second.
    void advance(int seconds)
    {
        for (int i = 0; i < seconds; ++i)
        {
            std::vector<std::uint64_t> before;
            for (std::size_t host = 0; host < fleet_.size(); ++host)
            {
                before.push_back(fleet_.record_bytes(host));
            }
            for (int step = 0; step < 10; ++step)
            {
                fleet_.advance(flow_workload::step);
                workload_.run_step([&](std::size_t index, const workload_flow& flow) { send(index, flow); },
                                   [&](std::size_t index) { upstreams_[index] = {}; });
            }
            for (std::size_t host = 0; host < fleet_.size(); ++host)
            {
                // A restarted process counts from 0.
                const auto now = fleet_.record_bytes(host);
                const auto records = now < before[host] ? 0 : now - before[host];
                max_bytes_per_second_ = std::max(max_bytes_per_second_,
                                                 static_cast<double>(records + host_report_bytes * reports_per_second));
            }
        }
    }

    void send(std::size_t index, const workload_flow& flow)
    {
        const auto caller = flow_workload::caller_of(flow);
        const auto& address = revisions_.draft()[flow.service].address;
        const auto result = fleet_.send(caller, address);
        ++packets_;
        relayed_ += result.hops;
        if (!result.delivered)
        {
            ++undelivered_;
            return;
        }
        auto& previous_upstream = upstreams_[index];
        const bool established = previous_upstream != base::endpoint{};
        broken_ += established && previous_upstream != result.upstream ? 1 : 0;
        previous_upstream = result.upstream;
    }

    flow_fleet fleet_;
    flow_workload workload_;
    revision_maker revisions_;
    std::vector<base::endpoint> upstreams_;
    std::uint64_t packets_ = 0;
    std::uint64_t relayed_ = 0;
    std::uint64_t undelivered_ = 0;
    std::uint64_t broken_ = 0;
    std::uint64_t max_broken_per_change_ = 0;
    double max_bytes_per_second_ = 0;
};

} // namespace

} // namespace galenabay::bench

int main()
{
    using namespace galenabay::bench;
    measure_decisions();
    measure_memory();
    measure_revision();
    measure_distribution();
    planned_change_run{}.run();
    return 0;
}
