#include "edged_process.hpp"
#include "foreign_socket.hpp"

#include <edge_soak/store_stub.hpp>

#include <CppUTest/TestHarness.h>

#include <csignal>

#include <memory>

using namespace galenabay;
using namespace galenabay::edged_test;

/// A process whose port of /metrics another program holds.
TEST_GROUP(edged_metrics_port)
{
    host_settings settings;
    edge_soak::store_stub store{settings.store};

    void setup() override
    {
        store.put("config", "main", configuration());
        store.put("servers", "i-1", registration());
    }
    /// Checks that a process serves without its port, and takes it when it is released.
    void check_serves_without(const base::endpoint& held)
    {
        constexpr auto metrics_retry_bound = 8s;
        constexpr std::uint16_t any_free_port = 0;
        host_settings own;
        own.store = settings.store;
        auto holder = std::make_unique<foreign_socket>(held.with_port(any_free_port), SOCK_STREAM);
        own.metrics_port = holder->port();
        edged_process host{own};
        host.start();
        CHECK(holds_within(start_bound, [&] { return host.is_ready(); }));
        LONGS_EQUAL(1, host.count("metrics_unavailable"));
        holder.reset();
        CHECK(holds_within(metrics_retry_bound, [&] { return edged_process::answers(own.metrics(), "/metrics"); }));
        LONGS_EQUAL(1, host.count("metrics_unavailable"));
        LONGS_EQUAL(1, host.count("metrics_available"));
        host.signal(SIGTERM);
        const auto ended = host.wait(stop_bound);
        CHECK(ended.has_value());
        LONGS_EQUAL(0, ended->code);
    }
};

// Failure: a process ended with 1 because a monitoring program held the port of its metrics on all addresses.
TEST(edged_metrics_port, is_not_needed_when_held_on_all_addresses)
{
    check_serves_without(base::endpoint::make_v4(0, 0));
}

// Failure: a process ended with 1 because another program held the port of its metrics.
TEST(edged_metrics_port, is_not_needed_when_held_on_its_own_address)
{
    check_serves_without(settings.packets);
}
