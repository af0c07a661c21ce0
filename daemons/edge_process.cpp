#include "edge_process.hpp"

#include <galenabay/base/log.hpp>
#include <galenabay/base/process_signals.hpp>
#include <galenabay/base/standard_error.hpp>
#include <galenabay/base/steady_clock.hpp>
#include <galenabay/edge/address_check.hpp>

#include <chrono>
#include <thread>

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
constexpr int exit_usage = 2;

/// Longest wait at the start for settings that can be used: whoever writes the file may need that long.
constexpr milliseconds settings_wait{5'000};
/// Longest wait at the start for a file with usable settings to be left unchanged by its writer.
constexpr milliseconds settle_wait{500};
/// Interval at which the settings are read during these waits.
constexpr milliseconds settings_retry_interval{50};

/// Interval at which the settings file is checked for a change without a signal.
constexpr milliseconds settings_check_interval{1'000};
/// Interval of attempts to start while addresses cannot be bound.
constexpr milliseconds start_retry_interval{100};
/// Interval of the log lines about a start that is delayed.
constexpr milliseconds start_report_interval{5'000};
/// Time in which a start may fail although every address can be bound: the system may be short of threads, descriptors
/// or memory for a moment, or an address was released between an attempt and the check of the addresses.
constexpr milliseconds shortage_wait{5'000};

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
    if (const auto read = read_settings(); !read)
    {
        base::flush_log();
        base::print_to_standard_error(read.error().peer() + ": " + read.error().detail() + "\n");
        return exit_usage;
    }
    else if (!read.value())
    {
        log_event{log_level::info, "stopped"}.with("took_ms", 0);
        return exit_ok;
    }
    base::configure_log(settings_.host, settings_.data_centre, log_level::info);
    if (const auto started = start(); !started)
    {
        log_event{log_level::error, "start_failed"}.with(started.error());
        return exit_failure;
    }
    else if (!started.value())
    {
        log_event{log_level::info, "stopped"}.with("took_ms", 0);
        return exit_ok;
    }
    log_event{log_level::info, "started"}
        .with("packets", settings_.packets.to_string())
        .with("store", settings_.store.to_string());
    log_unusable_seeds(settings_);
    serve_until_stopped();
    log_event{log_level::info, "stop_begun"}.with("bound_ms",
                                                  duration_cast<milliseconds>(settings_.stop_bound).count());
    const auto took = host_->drain();
    log_event{log_level::info, "stopped"}.with("took_ms", took.count());
    return exit_ok;
}

base::result<bool> edge_process::read_settings()
{
    const auto begun = base::steady_now();
    for (bool first = true;;)
    {
        auto read = file_.load();
        const auto waited = base::steady_now() - begun;
        if (read && (waited >= settle_wait || file_.settled()))
        {
            settings_ = std::move(read).value();
            return true;
        }
        if (read)
        {
            // Signals stay pending for the time after the start.
            std::this_thread::sleep_for(settings_retry_interval);
            continue;
        }
        if (waited >= settings_wait)
        {
            return read.error();
        }
        if (std::exchange(first, false))
        {
            base::configure_log("unknown", "unknown", log_level::info);
            log_event{log_level::warning, "settings_awaited"}
                .with(read.error())
                .with("limit_ms", settings_wait.count());
        }
        if (base::is_stop_signal(base::wait_for_process_signal(settings_retry_interval)))
        {
            return false;
        }
    }
}

base::result<bool> edge_process::start()
{
    for (auto shortage_begun = base::steady_now();;)
    {
        auto started = edge::edge_host::start(settings_, metrics_port_, features_);
        if (started)
        {
            host_ = std::move(started).value();
            return true;
        }
        const auto fault = edge::find_address_fault(settings_);
        if (fault ? !fault->may_pass : base::steady_now() - shortage_begun >= shortage_wait)
        {
            return started.error();
        }
        if (!wait_for_start(fault ? "address_awaited" : "start_retried", started.error()))
        {
            return false;
        }
        if (fault)
        {
            shortage_begun = base::steady_now();
        }
    }
}

bool edge_process::wait_for_start(const char* event, base::error fault)
{
    const auto begun = base::steady_now();
    while (true)
    {
        const auto now = base::steady_now();
        if (now >= next_start_report_)
        {
            next_start_report_ = now + start_report_interval;
            log_event{log_level::warning, event}.with(fault).with("waited_ms",
                                                                  duration_cast<milliseconds>(now - begun).count());
        }
        const int signal_number = base::wait_for_process_signal(start_retry_interval);
        if (base::is_stop_signal(signal_number))
        {
            return false;
        }
        if (reload(signal_number))
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

void edge_process::serve_until_stopped()
{
    while (true)
    {
        const int signal_number = base::wait_for_process_signal(settings_check_interval);
        if (base::is_stop_signal(signal_number))
        {
            return;
        }
        if (reload(signal_number))
        {
            host_->reload(settings_);
        }
        host_->retry_metrics();
    }
}

bool edge_process::reload(int signal_number)
{
    const bool requested = signal_number == SIGHUP;
    if (!requested && !file_.changed())
    {
        return false;
    }
    auto read = file_.load();
    if (!read)
    {
        // The file is read again until it can be used, so that its fault is logged once only.
        if (requested || logged_fault_ != read.error())
        {
            log_event{log_level::error, "settings_refused"}.with(read.error());
        }
        logged_fault_ = read.error();
        return false;
    }
    const bool recovered = std::exchange(logged_fault_, std::nullopt).has_value();
    if (!requested && !recovered && read.value() == settings_)
    {
        return false;
    }
    settings_ = std::move(read).value();
    log_event{log_level::info, "settings_reloaded"}.with("file", file_.path());
    log_unusable_seeds(settings_);
    return true;
}

} // namespace galenabay
