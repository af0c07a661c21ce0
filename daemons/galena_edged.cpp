#include "edge_process.hpp"
#include "settings_file.hpp"

#include <galenabay/base/log.hpp>
#include <galenabay/base/process_signals.hpp>
#include <galenabay/base/standard_error.hpp>
#include <galenabay/base/thread_memory.hpp>
#include <platform/settings.hpp>

#include <boost/program_options.hpp>

#include <cstdint>
#include <cstdlib>

#include <exception>
#include <iostream>
#include <string>
#include <utility>

namespace
{

namespace options = boost::program_options;
using galenabay::edge_process;
using galenabay::settings_file;
using galenabay::adapter::load_settings;

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

constexpr std::uint16_t default_metrics_port = 9100;

constexpr const char* version_text = "galena_edged 0.1.0";
constexpr const char* usage_text = R"(Usage: galena_edged [--settings FILE] [--check-settings FILE]

Entry host of galenabay on the users' platform: steers packets of flows to upstreams.
The settings file is FILE or, without --settings, the one that GALENABAY_SETTINGS names.

Exit codes: 0 planned stop or settings valid, 1 could not start, 2 bad settings or usage.
Signals: TERM and INT begin a planned stop, HUP reads the settings again.
)";

options::options_description described_options()
{
    options::options_description described{"Options"};
    described.add_options()("settings", options::value<std::string>(), "settings file (YAML)")(
        "check-settings", options::value<std::string>(), "check a settings file and exit")(
        "metrics-port", options::value<std::uint16_t>()->default_value(default_metrics_port), "port of /metrics")(
        "learned-capacity", options::value<std::string>()->default_value("on"),
        "on: load upstreams in proportion to their answer times; off")("help", "show this text")("version",
                                                                                                 "show the version");
    return described;
}

/// Returns the value of an option that is "on" or "off". Throws `options::error` for any other.
bool read_switch(const options::variables_map& values, const std::string& name)
{
    const auto value = values[name].as<std::string>();
    if (value != "on" && value != "off")
    {
        throw options::error{"--" + name + " is neither on nor off"};
    }
    return value == "on";
}

/// Reports an exception that ends the process.
void report(const std::exception& failure)
{
    galenabay::base::print_to_standard_error("level=error event=process_failed " +
                                             galenabay::base::format_field("detail", failure.what()) + "\n");
}

int serve(const std::string& file, std::uint16_t metrics_port, galenabay::edge::edge_features features)
{
    galenabay::base::limit_thread_memory();
    edge_process process{settings_file{file}, metrics_port, features};
    int exit_code = exit_failure;
    try
    {
        exit_code = process.run();
    }
    catch (const std::exception& failure)
    {
        report(failure);
    }
    // Exits without joining the threads: one may still wait for an answer of the store. Nothing waits for the output
    // either, whose reader may have stopped.
    galenabay::base::flush_log();
    std::_Exit(exit_code);
}

int check(const std::string& file)
{
    const auto settings = load_settings(file);
    if (!settings)
    {
        std::cerr << settings.error().peer() << ": " << settings.error().detail() << '\n';
        return exit_usage;
    }
    for (const auto& fault : settings.value().unusable_seeds)
    {
        std::cerr << fault << '\n';
    }
    if (!settings.value().unusable_seeds.empty())
    {
        return exit_usage;
    }
    std::cout << file << ": valid\n";
    return exit_ok;
}

int run(const options::variables_map& values)
{
    if (values.count("help") != 0)
    {
        std::cout << usage_text << described_options();
        return exit_ok;
    }
    if (values.count("version") != 0)
    {
        std::cout << version_text << '\n';
        return exit_ok;
    }
    const galenabay::edge::edge_features features{.learned_capacity = read_switch(values, "learned-capacity")};
    if (values.count("check-settings") != 0)
    {
        return check(values["check-settings"].as<std::string>());
    }
    const char* named = std::getenv(galenabay::adapter::settings_variable);
    const auto file = values.count("settings") != 0 ? values["settings"].as<std::string>()
                                                    : std::string{named == nullptr ? "" : named};
    if (file.empty())
    {
        std::cerr << "galena_edged: neither --settings nor GALENABAY_SETTINGS names a settings file; see --help\n";
        return exit_usage;
    }
    return serve(file, values["metrics-port"].as<std::uint16_t>(), features);
}

} // namespace

int main(int argc, char** argv)
{
    // Before any thread starts: threads inherit the mask.
    galenabay::base::block_process_signals();
    galenabay::base::open_standard_descriptors();
    try
    {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, described_options()), values);
        return run(values);
    }
    catch (const options::error& failure)
    {
        std::cerr << "galena_edged: " << failure.what() << "; see --help\n";
        return exit_usage;
    }
    catch (const std::exception& failure)
    {
        report(failure);
        return exit_failure;
    }
}
