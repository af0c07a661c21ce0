#include "edged_process.hpp"

#include <edge_soak/store_stub.hpp>

#include <CppUTest/TestHarness.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>

using namespace galenabay;
using namespace galenabay::edged_test;

/// Signals that arrive while a process reads its settings for the first time: they come from a pipe, so that the
/// process waits there for the test.
TEST_GROUP(edged_early_signal)
{
    host_settings settings;
    edge_soak::store_stub store{settings.store};
    edged_process host{settings};
    int writer = -1;

    void setup() override
    {
        store.put("config", "main", configuration());
        store.put("servers", "i-1", registration());
        unlink(host.settings_path().c_str());
        LONGS_EQUAL(0, mkfifo(host.settings_path().c_str(), S_IRUSR | S_IWUSR));
        host.start();
        CHECK(holds_within(start_bound,
                           [&] { return (writer = open(host.settings_path().c_str(), O_WRONLY | O_NONBLOCK)) >= 0; }));
    }
    /// Lets the process read its settings, and replaces the pipe by a file.
    void give_settings()
    {
        const auto text = settings.text();
        const auto file = host.settings_path() + ".new";
        std::ofstream{file} << text;
        LONGS_EQUAL(0, std::rename(file.c_str(), host.settings_path().c_str()));
        LONGS_EQUAL(text.size(), write(writer, text.data(), text.size()));
        close(writer);
    }
};

// Failure: a request to read the settings again ended a process that had not finished its start, by the signal's
// default action.
TEST(edged_early_signal, a_reload_during_the_start_ends_no_process)
{
    host.signal(SIGHUP);
    give_settings();
    CHECK(holds_within(start_bound, [&] { return host.is_ready(); }));
}

// Failure: a stop during the start ended the process by the signal and not with 0.
TEST(edged_early_signal, a_stop_during_the_start_is_a_planned_stop)
{
    host.signal(SIGTERM);
    host.signal(SIGINT);
    give_settings();
    const auto ended = host.wait(start_bound);
    CHECK(ended.has_value());
    LONGS_EQUAL(0, ended->code);
    LONGS_EQUAL(1, host.count("stopped"));
}

// Sanitizers forbid to block signals this early, and libraries loaded before theirs.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)

TEST_GROUP(edged_signal_before_main)
{
    host_settings settings;
    edge_soak::store_stub store{settings.store};
    edged_process host{settings};
};

// Failure: a request to read the settings again ended a process whose libraries were being initialised.
TEST(edged_signal_before_main, a_reload_while_libraries_are_initialised_ends_no_process)
{
    store.put("config", "main", configuration());
    store.put("servers", "i-1", registration());
    start_options options;
    options.prepare = [] { setenv("LD_PRELOAD", GALENABAY_RAISE_SIGNAL, 1); };
    host.start(options);
    CHECK(holds_within(start_bound, [&] { return host.is_ready() || !host.is_running(); }));
    CHECK(host.is_running() && host.is_ready());
    // The signal was delivered, and asked for the settings.
    CHECK(holds_within(start_bound, [&] { return host.count("settings_reloaded") == 1; }));
}

#endif
