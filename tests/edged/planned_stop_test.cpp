#include "counting_upstream.hpp"

#include <edge_soak/store_stub.hpp>

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <cstdio>

using namespace galenabay;
using namespace galenabay::edged_test;

/// A host that is stopped while new flows arrive.
TEST_GROUP(edged_planned_stop)
{
    host_settings settings;
    edge_soak::store_stub store{settings.store};
    counting_upstream upstream;
    opening_caller caller;
};

// Failure: SYNs that had reached the host before it ended, and were still in its socket, were lost.
TEST(edged_planned_stop, steers_what_arrived_before_the_end)
{
    constexpr std::size_t flows = 300;
    store.put("config", "main", configuration());
    store.put("servers", "i-1", upstream.registration("east"));
    // The process does not wait for the routers, so that the end comes at once.
    settings.stop_time = 0s;
    edged_process host{settings};
    host.start();
    CHECK(holds_within(start_bound, [&] { return host.is_ready(); }));
    host.signal(SIGSTOP);
    for (std::size_t i = 0; i < flows; ++i)
    {
        caller.open(settings.packets);
    }
    host.signal(SIGTERM);
    host.signal(SIGCONT);
    const auto ended = host.wait(stop_bound);
    CHECK(ended.has_value());
    LONGS_EQUAL(0, ended->code);
    LONGS_EQUAL(flows, upstream.take());
}
