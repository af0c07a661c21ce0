#include "edge_process.hpp"

#include <galenabay/base/log.hpp>
#include <galenabay/base/process_signals.hpp>
#include <galenabay/base/steady_clock.hpp>
#include <galenabay/edge/address_check.hpp>

#include <chrono>

namespace galenabay
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;

/// Interval at which the settings file is checked for a change without a signal.
constexpr milliseconds settings_check_interval{1'000};
/// Interval at which addresses that cannot be bound are tried again.
constexpr milliseconds address_check_interval{100};
/// Interval of the log lines about an address that cannot be bound.
constexpr milliseconds address_report_interval{5'000};
/// Attempts to start that may fail although every address can be bound: another process may
/// release an address between an attempt and the check of the addresses.
constexpr int max_unexplained_failures = 3;

void log_unusable_seeds(const adapter::settings& settings)
{
    for (const auto& fault : settings.unusable_seeds)
    {
        log_event{log_level::warning, "seed_refused"}.with("detail", fault);
    }
}

} // namespace

int edge_process::run()
{
    auto started = start();
    if (!started)
    {
        log_event{log_level::error, "start_failed"}.with(started.error());
        return exit_failure;
    }
    if (!started.value())
    {
        log_event{log_level::info, "stopped"}.with("took_ms", 0);
        return exit_ok;
    }
    auto& running = *started.value();
    log_event{log_level::info, "started"}
        .with("packets", settings_.packets.to_string())
        .with("store", settings_.store.to_string());
    log_unusable_seeds(settings_);
    serve_until_stopped(running);
    log_event{log_level::info, "stop_begun"}.with("bound_ms",
                                                  duration_cast<milliseconds>(settings_.stop_bound).count());
    const auto took = running.drain();
    log_event{log_level::info, "stopped"}.with("took_ms", took.count());
    return exit_ok;
}

base::result<std::optional<edge::edge_host>> edge_process::start()
{
    for (int unexplained = 0;;)
    {
        auto started = edge::edge_host::start(settings_, metrics_port_);
        if (started)
        {
            return std::optional{std::move(started).value()};
        }
        const auto fault = edge::find_address_fault(settings_);
        unexplained += fault ? 0 : 1;
        if ((fault && !fault->may_pass) || unexplained > max_unexplained_failures)
        {
            return started.error();
        }
        if (!wait_for_addresses(started.error()))
        {
            return std::optional<edge::edge_host>{};
        }
    }
}

bool edge_process::wait_for_addresses(base::error fault)
{
    const auto begun = base::steady_now();
    for (auto next_report = begun;;)
    {
        const auto now = base::steady_now();
        if (now >= next_report)
        {
            next_report = now + address_report_interval;
            log_event{log_level::warning, "address_awaited"}.with(fault).with(
                "waited_ms", duration_cast<milliseconds>(now - begun).count());
        }
        const int signal_number = base::wait_for_process_signal(address_check_interval);
        if (base::is_stop_signal(signal_number))
        {
            return false;
        }
        if ((signal_number == SIGHUP || file_.changed()) && reload())
        {
            return true;
        }
        const auto found = edge::find_address_fault(settings_);
        if (!found || !found->may_pass)
        {
            return true;
        }
        fault = found->error;
    }
}

void edge_process::serve_until_stopped(edge::edge_host& running)
{
    while (true)
    {
        const int signal_number = base::wait_for_process_signal(settings_check_interval);
        if (base::is_stop_signal(signal_number))
        {
            return;
        }
        if ((signal_number == SIGHUP || file_.changed()) && reload())
        {
            running.reload(settings_);
        }
        running.retry_metrics();
    }
}

bool edge_process::reload()
{
    auto read = file_.load();
    if (!read)
    {
        log_event{log_level::error, "settings_refused"}.with(read.error());
        return false;
    }
    settings_ = std::move(read).value();
    log_event{log_level::info, "settings_reloaded"}.with("file", file_.path());
    log_unusable_seeds(settings_);
    return true;
}

} // namespace galenabay
