#include "edged_process.hpp"
#include "foreign_socket.hpp"

#include <edge_soak/store_stub.hpp>

#include <CppUTest/TestHarness.h>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

using namespace galenabay;
using namespace galenabay::edged_test;

namespace
{

/// A pipe that is full, and whose reader does not read.
class full_pipe
{
public:
    full_pipe()
    {
        LONGS_EQUAL(0, pipe2(ends_, O_CLOEXEC));
        LONGS_EQUAL(0, fcntl(ends_[1], F_SETFL, O_NONBLOCK));
        const char filler[4096] = {};
        while (write(ends_[1], filler, sizeof filler) > 0)
        {
        }
        LONGS_EQUAL(0, fcntl(ends_[1], F_SETFL, 0));
    }
    full_pipe(const full_pipe&) = delete;
    full_pipe& operator=(const full_pipe&) = delete;
    ~full_pipe()
    {
        close(ends_[0]);
        close(ends_[1]);
    }
    int writer() const { return ends_[1]; }

private:
    int ends_[2] = {-1, -1};
};

} // namespace

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
    const full_pipe output;
    start_options options;
    options.output = output.writer();
    check_serves(options);
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

namespace
{

/// Enough for the sockets of the datagrams, and too few for the events by which threads wake each other.
constexpr rlim_t few_descriptors = STDERR_FILENO + 4;
constexpr rlim_t usual_descriptors = 1'024;

/// Leaves a process few descriptors; its parent may raise the limit.
void limit_descriptors()
{
    constexpr rlimit limit{few_descriptors, usual_descriptors};
    setrlimit(RLIMIT_NOFILE, &limit);
    close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
}

} // namespace

// Failure: a refused descriptor, thread or memory ended the process by signal 6.
TEST(edged_environment, a_lasting_shortage_at_the_start_ends_the_process_with_1)
{
    constexpr auto wait_bound = 8s;
    start_options options;
    options.prepare = limit_descriptors;
    host.start(options);
    const auto ended = host.wait(wait_bound);
    CHECK(ended.has_value());
    LONGS_EQUAL(1, ended->code);
    LONGS_EQUAL(1, host.count("start_failed"));
    CHECK(host.count("start_retried") > 0);
}

// Failure: so did a shortage that passed.
TEST(edged_environment, a_shortage_at_the_start_that_passes_is_awaited)
{
    start_options options;
    options.prepare = limit_descriptors;
    host.start(options);
    CHECK(holds_within(start_bound, [&] { return host.count("start_retried") > 0; }));
    constexpr rlimit limit{usual_descriptors, usual_descriptors};
    LONGS_EQUAL(0, prlimit(host.id(), RLIMIT_NOFILE, &limit, nullptr));
    CHECK(holds_within(start_bound, [&] { return host.is_ready(); }));
}

// Failure: a shortage that followed a longer wait for an address ended the process at once, and so did an address that
// the earlier process released while the start was tried.
TEST(edged_environment, a_shortage_after_an_address_was_awaited_is_awaited)
{
    constexpr auto shortage_wait = 5s;
    start_options options;
    options.prepare = limit_descriptors;
    {
        const foreign_socket holder{settings.packets, SOCK_DGRAM};
        host.start(options);
        CHECK_FALSE(host.wait(shortage_wait + 500ms).has_value());
    }
    CHECK_FALSE(host.wait(1s).has_value());
    constexpr rlimit limit{usual_descriptors, usual_descriptors};
    LONGS_EQUAL(0, prlimit(host.id(), RLIMIT_NOFILE, &limit, nullptr));
    CHECK(holds_within(start_bound, [&] { return host.is_ready(); }));
}

// Failure: with an output that nobody read, a process whose settings cannot be used did not end.
TEST(edged_environment, unusable_settings_end_the_process_also_when_nobody_reads_its_output)
{
    constexpr auto wait_bound = 8s;
    host.write_settings("node: 1");
    const full_pipe output;
    start_options options;
    options.output = output.writer();
    host.start(options);
    const auto ended = host.wait(wait_bound);
    CHECK(ended.has_value());
    LONGS_EQUAL(2, ended->code);
}
