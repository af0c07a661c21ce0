#include "edged_process.hpp"

#include <edge_soak/store_stub.hpp>

#include <CppUTest/TestHarness.h>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

using namespace galenabay;
using namespace galenabay::edged_test;

/// What a process inherits from the program that starts it.
TEST_GROUP(edged_environment)
{
    host_settings settings;
    edge_soak::store_stub store{settings.store};
    edged_process host{settings};

    void setup() override
    {
        store.put("config", "main", configuration());
        store.put("servers", "i-1", registration());
    }
    /// Checks that a process is ready and ends with 0 after a planned stop.
    void check_serves(const start_options& options)
    {
        host.start(options);
        CHECK(holds_within(start_bound, [&] { return host.is_ready(); }));
        host.signal(SIGTERM);
        const auto ended = host.wait(stop_bound);
        CHECK(ended.has_value());
        LONGS_EQUAL(0, ended->code);
    }
};

// Failure: a process whose output nobody read did not end: it waited for the output until it was killed.
TEST(edged_environment, an_output_that_nobody_reads_does_not_delay_the_stop)
{
    int ends[2];
    LONGS_EQUAL(0, pipe2(ends, O_CLOEXEC));
    LONGS_EQUAL(0, fcntl(ends[1], F_SETFL, O_NONBLOCK));
    const char filler[4096] = {};
    while (write(ends[1], filler, sizeof filler) > 0)
    {
    }
    LONGS_EQUAL(0, fcntl(ends[1], F_SETFL, 0));
    start_options options;
    options.output = ends[1];
    check_serves(options);
    close(ends[0]);
    close(ends[1]);
}

TEST(edged_environment, an_output_whose_reader_has_gone_does_not_matter)
{
    int ends[2];
    LONGS_EQUAL(0, pipe2(ends, O_CLOEXEC));
    close(ends[0]);
    start_options options;
    options.output = ends[1];
    check_serves(options);
    close(ends[1]);
}

// Failure: a limit on the size of files, reached by the log, ended the process with signal 25.
TEST(edged_environment, a_log_file_that_cannot_grow_does_not_matter)
{
    start_options options;
    options.prepare = []
    {
        constexpr rlimit small_files{100, 100};
        setrlimit(RLIMIT_FSIZE, &small_files);
    };
    check_serves(options);
}

// Failure: closed standard descriptors were taken by sockets, to which the log was then written.
TEST(edged_environment, closed_standard_descriptors_are_not_used_for_sockets)
{
    start_options options;
    options.prepare = []
    {
        close(STDIN_FILENO);
        close(STDOUT_FILENO);
        close(STDERR_FILENO);
    };
    host.start(options);
    CHECK(holds_within(start_bound, [&] { return host.is_ready(); }));
    for (const int descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO})
    {
        STRCMP_EQUAL("/dev/null", host.descriptor_target(descriptor).c_str());
    }
}

// Failure: a signal for the rotation of logs ended the process.
TEST(edged_environment, signals_without_a_meaning_are_ignored)
{
    host.start();
    CHECK(holds_within(start_bound, [&] { return host.is_ready(); }));
    for (const int number : {SIGUSR1, SIGUSR2, SIGPIPE, SIGXFSZ})
    {
        host.signal(number);
    }
    CHECK_FALSE(host.wait(500ms).has_value());
}

TEST(edged_environment, inherited_dispositions_and_masks_do_not_matter)
{
    start_options options;
    options.prepare = []
    {
        sigset_t all;
        sigfillset(&all);
        sigprocmask(SIG_BLOCK, &all, nullptr);
        for (const int number : {SIGHUP, SIGINT, SIGTERM})
        {
            std::signal(number, SIG_IGN);
        }
    };
    check_serves(options);
}

// Failure: an exception outside the options ended the process by signal 6.
TEST(edged_environment, an_exception_at_the_start_ends_the_process_with_1)
{
    start_options options;
    options.prepare = []
    {
        // Enough for the sockets of the datagrams, and too few for the events by which threads wake each other.
        constexpr rlim_t descriptors = STDERR_FILENO + 4;
        constexpr rlimit few_descriptors{descriptors, descriptors};
        close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
        setrlimit(RLIMIT_NOFILE, &few_descriptors);
    };
    host.start(options);
    const auto ended = host.wait(start_bound);
    CHECK(ended.has_value());
    LONGS_EQUAL(1, ended->code);
    LONGS_EQUAL(1, host.count("process_failed"));
}
