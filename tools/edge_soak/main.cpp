#include "address_block.hpp"
#include "caller_fleet.hpp"
#include "fault_injector.hpp"
#include "host_processes.hpp"
#include "soak_results.hpp"
#include "store_stub.hpp"
#include "upstream_fleet.hpp"

#include <galenabay/base/log.hpp>

#include <boost/program_options.hpp>

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <thread>

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
constexpr std::size_t callers = 60;
/// No faults are injected in this time before the end, so that open requests can finish.
constexpr double fault_free_end_s = 6;
/// Minimum share of answered requests. With fewer, too little traffic was checked for the run to pass.
constexpr double min_answered_share = 0.6;

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

int soak(const std::string& program, std::size_t hosts, address_block block, std::uint64_t seed, double duration,
         bool with_faults)
{
    const auto directory = std::filesystem::temp_directory_path() / ("edge_soak-" + std::to_string(seed));
    std::filesystem::remove_all(directory);
    std::filesystem::create_directories(directory);
    const auto store_address = base::endpoint::make_v4(block.store(), store_port);
    soak_results results;
    store_stub store{store_address};
    store.put("config", "main", configuration_text(1, 5));
    upstream_fleet upstreams{store, results, block, caller_port, seed};
    start_upstreams(upstreams);
    host_processes processes{program, directory.string(), hosts, store_address, block};
    fault_injector injector{processes, store, upstreams, results, seed};
    caller_fleet fleet{callers, block, caller_port, upstreams, results, [&] { return processes.rotation(); }, seed};
    constexpr double warm_up_s = 2;
    const auto start = std::chrono::steady_clock::now();
    for (double now = 0; now < duration; now = seconds_since(start))
    {
        upstreams.receive(now);
        if (now > warm_up_s)
        {
            fleet.run(now);
        }
        injector.run(now, with_faults ? duration - fault_free_end_s : 0);
        if (processes.restart_exited(now) > 0)
        {
            results.violation("host_keeps_running", now, "logs=" + directory.string());
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    results.print(seed, store.calls());
    if (static_cast<double>(results.answered) < min_answered_share * static_cast<double>(results.asked) ||
        results.asked == 0)
    {
        results.violation("requests_are_answered", duration, "logs=" + directory.string());
    }
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
        "duration", options::value<double>()->default_value(30), "length of the run in seconds")(
        "block", options::value<std::uint32_t>()->default_value(0),
        "address block of this run, 0 to 14")("no-faults", "inject no faults")("help", "print this help");
    try
    {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") != 0)
        {
            std::cout << description;
            return exit_ok;
        }
        return soak(values["program"].as<std::string>(), values["hosts"].as<std::size_t>(),
                    address_block{values["block"].as<std::uint32_t>()}, values["seed"].as<std::uint64_t>(),
                    values["duration"].as<double>(), values.count("no-faults") == 0);
    }
    catch (const options::error& failure)
    {
        std::cerr << "edge_soak: " << failure.what() << "; see --help\n";
        return exit_usage;
    }
}
