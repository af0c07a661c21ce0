#include "edged_process.hpp"

#include <edge_soak/store_stub.hpp>

#include <CppUTest/TestHarness.h>

#include <sys/resource.h>

using namespace galenabay;
using namespace galenabay::edged_test;

// A program with a sanitizer reserves terabytes of addresses.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)

namespace
{

/// Memory of the smallest machine of the deployments in force.
constexpr rlim_t smallest_memory = 80'000'000;
constexpr int requests = 200;

void limit_addresses()
{
    const rlimit limit{smallest_memory, smallest_memory};
    setrlimit(RLIMIT_AS, &limit);
}

} // namespace

TEST_GROUP(edged_memory)
{
    host_settings settings;
    edge_soak::store_stub store{settings.store};
    edged_process host{settings};
};

// Failure: a process ended at its start, or its threads failed later, where the machine's memory limits the addresses
// that a process may reserve: each thread reserved 8 MB for its stack and 64 MB for its allocations.
TEST(edged_memory, serves_when_the_addresses_are_limited_to_the_memory_of_a_small_machine)
{
    store.put("config", "main", configuration());
    store.put("servers", "i-1", registration());
    host.start({.arguments = {}, .prepare = limit_addresses});
    const auto serves_state = [&] { return edged_process::answers(settings.peers, "/state/servers"); };
    CHECK(holds_within(start_bound, [&] { return (host.is_ready() && serves_state()) || !host.is_running(); }));
    for (int i = 0; i < requests && host.is_running(); ++i)
    {
        CHECK(edged_process::answers(settings.metrics(), "/metrics"));
        CHECK(serves_state());
    }
    CHECK(host.is_running() && host.is_ready());
    LONGS_EQUAL(0, host.count("thread_failed"));
}

#endif
