#include <galenabay/base/log.hpp>
#include <galenabay/base/process_signals.hpp>
#include <galenabay/base/thread_memory.hpp>
#include <galenabay/config/host_settings.hpp>
#include <galenabay/daemon/balancer.hpp>

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>

#include <exception>
#include <iostream>
#include <string>

namespace
{

namespace options = boost::program_options;
using galenabay::base::log_event;
using galenabay::base::log_level;

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

constexpr const char* version_text = "galena_balancerd 0.1.0";
constexpr const char* usage_text = R"(Usage: galena_balancerd --config FILE [--check]

Entry host of galenabay: steers datagrams and requests to upstreams.
Example: galena_balancerd --config /etc/galenabay/host.yaml

Exit codes: 0 planned stop or settings valid, 1 could not start, 2 bad settings or usage.
Signals: TERM and INT begin a planned stop, HUP reloads the log level and the test settings.
)";

options::options_description described_options()
{
    options::options_description described{"Options"};
    described.add_options()("config", options::value<std::string>(), "settings file (YAML)")(
        "check", "check the settings and exit")("help", "show this text")("version", "show the version");
    return described;
}

void reload(const std::string& file, galenabay::daemon::balancer& running)
{
    const auto settings = galenabay::config::load_host_settings(file);
    if (settings)
    {
        galenabay::base::set_log_level(settings.value().log_level);
        log_event{log_level::info, "settings_reloaded"}.with("file", file);
    }
    else
    {
        log_event{log_level::error, "settings_refused"}.with(settings.error());
    }
    running.reload();
}

int serve(const std::string& file, const galenabay::config::host_settings& settings, const sigset_t& handled)
{
    galenabay::base::limit_thread_memory();
    galenabay::base::configure_log(settings.name, settings.data_centre, settings.log_level);
    auto started = galenabay::daemon::balancer::start(settings);
    if (!started)
    {
        log_event{log_level::error, "start_failed"}.with(started.error());
        galenabay::base::flush_log();
        return exit_failure;
    }
    log_event{log_level::info, "started"}.with("address", settings.address.address_string());
    for (int signal_number = 0; sigwait(&handled, &signal_number) == 0;)
    {
        if (signal_number != SIGHUP)
        {
            break;
        }
        reload(file, started.value());
    }
    log_event{log_level::info, "stop_begun"}.with("timeout_ms", settings.stop_timeout.count() / 1000);
    const auto summary = started.value().stop();
    log_event{log_level::info, "stopped"}
        .with("open_requests", summary.open_requests)
        .with("took_ms", summary.elapsed.count() / 1000);
    // A platform thread may still be blocked in a call; quick_exit does not wait for it.
    galenabay::base::flush_log();
    std::quick_exit(exit_ok);
}

int run(const options::variables_map& values, const sigset_t& handled)
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
    if (values.count("config") == 0)
    {
        std::cerr << "galena_balancerd: --config FILE is required; see --help\n";
        return exit_usage;
    }
    const auto file = values["config"].as<std::string>();
    const auto settings = galenabay::config::load_host_settings(file);
    if (!settings)
    {
        std::cerr << settings.error().peer() << ": " << settings.error().detail() << '\n';
        return exit_usage;
    }
    if (values.count("check") != 0)
    {
        std::cout << file << ": valid\n";
        return exit_ok;
    }
    return serve(file, settings.value(), handled);
}

} // namespace

int main(int argc, char** argv)
{
    // Before any thread starts: threads inherit the mask.
    const sigset_t handled = galenabay::base::block_process_signals();
    galenabay::base::open_standard_descriptors();
    try
    {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, described_options()), values);
        return run(values, handled);
    }
    catch (const options::error& failure)
    {
        std::cerr << "galena_balancerd: " << failure.what() << "; see --help\n";
        return exit_usage;
    }
    catch (const std::exception& failure)
    {
        std::cerr << "galena_balancerd: " << failure.what() << '\n';
        return exit_failure;
    }
}
