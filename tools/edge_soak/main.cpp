#include "address_block.hpp"
#include "caller_fleet.hpp"
#include "evacuation_check.hpp"
#include "evacuation_operator.hpp"
#include "fault_injector.hpp"
#include "host_processes.hpp"
#include "soak_results.hpp"
#include "starting_rate_check.hpp"
#include "store_stub.hpp"
#include "upstream_fleet.hpp"

#include <galenabay/base/log.hpp>

#include <boost/program_options.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace
{

namespace options = boost::program_options;
using namespace galenabay;
using namespace galenabay::edge_soak;

constexpr int exit_ok = 0;
constexpr int exit_violation = 1;
constexpr int exit_usage = 2;
constexpr std::uint16_t store_port = 29200;
constexpr std::uint16_t caller_port = 29100;
constexpr std::size_t callers = 72;
/// So many of them open a new flow several times a second: where new flows go is seen within seconds.
constexpr std::size_t brief_callers = 12;
/// No faults are injected in this time before the end, so that open requests can finish.
constexpr double fault_free_end_s = 6;
/// Minimum share of answered requests. With fewer, too little traffic was checked for the run to pass.
constexpr double min_answered_share = 0.6;
constexpr std::size_t spare_hosts = 3;
/// All hosts start within this time of each other.
constexpr double start_spread_s = 0.3;
/// Longest wait for hosts to get ready after the run: the last fault may end 14 s after it began, and a host then has
/// 10 s.
constexpr double longest_wait_s = 20;
/// Memory of a machine of the smallest deployment.
constexpr long max_memory_kb = 260'000;

double seconds_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

void start_upstreams(upstream_fleet& upstreams)
{
    for (std::size_t i = 0; i < 9; ++i)
    {
        upstreams.start(i % 3 == 2 ? "vault" : "feed", "zone-" + std::to_string(i % 3));
        upstreams.start("feed", "zone-" + std::to_string(i % 3));
    }
}

struct soak_options
{
    std::string program;
    std::size_t hosts = 0;
    address_block block;
    std::uint64_t seed = 0;
    double duration = 0;
    bool with_faults = true;
    bool starting_rate = false;
    std::set<std::string> left_out;
};

/// Reports processes that ended by themselves or did not get ready, and starts those that are due.
void check_hosts(host_processes& processes, soak_results& results, double now)
{
    for (const auto& line : processes.restart_ended(now))
    {
        results.violation("host_keeps_running", now, line);
    }
    for (const auto& line : processes.late_hosts(now))
    {
        results.violation("host_gets_ready", now, line);
    }
}

void start_hosts(host_processes& processes, store_stub& store, std::size_t count, fault_schedule& schedule)
{
    for (std::size_t i = 1; i < processes.size(); ++i)
    {
        store.listen(processes.store_of(i));
    }
    for (std::size_t i = 0; i < count; ++i)
    {
        processes.add(i, schedule.between(0, start_spread_s));
    }
}

/// What is measured in each round of the run.
struct run_gauges
{
    long peak_memory_kb = 0;
    /// Tells a violation on a machine that stood still from one by the hosts.
    double longest_round_s = 0;

    void update(double now, const host_processes& processes)
    {
        longest_round_s = std::max(longest_round_s, now - std::exchange(previous_, now));
        if (now > next_memory_check_)
        {
            next_memory_check_ = now + 1;
            peak_memory_kb = std::max(peak_memory_kb, processes.peak_memory_kb());
        }
    }

private:
    double previous_ = 0;
    double next_memory_check_ = 1;
};

/// Checks what must hold at the end of the run.
void check_end(const host_processes& processes, soak_results& results, const soak_options& options,
               const run_gauges& gauges)
{
    if (!processes.all_ready())
    {
        results.violation("host_gets_ready", options.duration + longest_wait_s, "not all hosts are ready at the end");
    }
    std::printf("longest_round_s=%.3f peak_memory_kb=%ld\n", gauges.longest_round_s, gauges.peak_memory_kb);
    if (gauges.peak_memory_kb > max_memory_kb)
    {
        results.violation("host_memory_is_bounded", options.duration,
                          "peak_kb=" + std::to_string(gauges.peak_memory_kb));
    }
    if (static_cast<double>(results.answered) < min_answered_share * static_cast<double>(results.asked) ||
        results.asked == 0)
    {
        results.violation("requests_are_answered", options.duration, "too few");
    }
}

int soak(const soak_options& options)
{
    const auto& [program, hosts, block, seed, duration, with_faults, starting_rate, left_out] = options;
    const auto directory = std::filesystem::temp_directory_path() / ("edge_soak-" + std::to_string(seed));
    std::filesystem::remove_all(directory);
    std::filesystem::create_directories(directory);
    const auto store_address = base::endpoint::make_v4(block.store(), store_port);
    soak_results results;
    store_stub store{store_address};
    store.put("config", "main", configuration_text(1, 5, starting_rate));
    upstream_fleet upstreams{store, results, block, caller_port, seed};
    start_upstreams(upstreams);
    std::optional<starting_rate_check> rate_check;
    if (starting_rate)
    {
        upstreams.set_starting();
        rate_check.emplace(upstreams, results);
    }
    fault_schedule schedule{results, seed, left_out};
    host_processes processes{program, directory.string(), hosts + spare_hosts, store_address, block};
    fault_injector injector{
        processes, store,        upstreams, schedule, base::endpoint::make_v4(block.callers() + callers, caller_port),
        seed,      starting_rate};
    evacuation_operator evacuations{schedule, store, processes, seed};
    evacuation_check evacuation{evacuations, processes, upstreams, results};
    caller_fleet fleet{
        callers, brief_callers, block, caller_port, upstreams, results, [&] { return processes.rotation(); }, seed};
    start_hosts(processes, store, hosts, schedule);
    if (with_faults)
    {
        injector.begin_before_start();
    }
    constexpr double warm_up_s = 2;
    run_gauges gauges;
    const auto start = std::chrono::steady_clock::now();
    for (double now = 0; now < duration || (!processes.all_ready() && now < duration + longest_wait_s);
         now = seconds_since(start))
    {
        gauges.update(now, processes);
        if (rate_check)
        {
            rate_check->run(now);
        }
        upstreams.receive(now);
        if (now > warm_up_s && now < duration)
        {
            fleet.run(now);
        }
        injector.run(now, with_faults ? duration - fault_free_end_s : 0);
        evacuations.run(now, with_faults ? duration - fault_free_end_s : 0);
        evacuation.run(now);
        check_hosts(processes, results, now);
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    check_end(processes, results, options, gauges);
    results.print(seed, store.calls());
    if (results.violations() > 0)
    {
        std::printf("logs=%s\n", directory.c_str());
        return exit_violation;
    }
    std::filesystem::remove_all(directory);
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description description{
        "edge_soak: runs galena_edged processes against simulated callers, upstreams and store, with faults"};
    description.add_options()("program", options::value<std::string>()->default_value("build/bin/galena_edged"),
                              "path of the daemon")("hosts", options::value<std::size_t>()->default_value(6),
                                                    "number of processes")(
        "seed", options::value<std::uint64_t>()->default_value(1), "seed of faults and load")(
        "duration", options::value<double>()->default_value(30),
        "length of the run in seconds")("block", options::value<std::uint32_t>()->default_value(0),
                                        "address block of this run, 0 to 14")("no-faults", "inject no faults")(
        "starting-rate", "services state a rate of starting upstreams, and it is checked")(
        "without", options::value<std::vector<std::string>>()->multitoken()->default_value({}, ""),
        "names of faults that are not injected")("help", "print this help");
    try
    {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") != 0)
        {
            std::cout << description;
            return exit_ok;
        }
        const auto& left_out = values["without"].as<std::vector<std::string>>();
        return soak({.program = values["program"].as<std::string>(),
                     .hosts = values["hosts"].as<std::size_t>(),
                     .block = address_block{values["block"].as<std::uint32_t>()},
                     .seed = values["seed"].as<std::uint64_t>(),
                     .duration = values["duration"].as<double>(),
                     .with_faults = values.count("no-faults") == 0,
                     .starting_rate = values.count("starting-rate") != 0,
                     .left_out = {left_out.begin(), left_out.end()}});
    }
    catch (const options::error& failure)
    {
        std::cerr << "edge_soak: " << failure.what() << "; see --help\n";
        return exit_usage;
    }
}
