#include "edged_process.hpp"
#include "foreign_socket.hpp"

#include <edge_soak/store_stub.hpp>

#include <CppUTest/TestHarness.h>

#include <sys/socket.h>

#include <csignal>

using namespace galenabay;
using namespace galenabay::edged_test;

namespace
{

/// Address for documentation, which no machine has.
constexpr std::uint32_t missing_address = 0xcb007109; // 203.0.113.9

} // namespace

/// A process whose addresses another one holds at its start.
TEST_GROUP(edged_addresses)
{
    host_settings settings;
    edge_soak::store_stub store{settings.store};

    void setup() override
    {
        store.put("config", "main", configuration());
        store.put("servers", "i-1", registration());
    }
    /// Checks that a process waits while another program holds an address of it, says so in one line, and is ready soon
    /// after its end.
    void check_waits_for(base::endpoint host_settings::*member, int type)
    {
        host_settings own;
        own.store = settings.store;
        edged_process host{own};
        {
            const foreign_socket holder{own.*member, type};
            host.start();
            CHECK(holds_within(start_bound, [&] { return host.count("address_awaited") > 0 || !host.is_running(); }));
            CHECK_FALSE(host.wait(1s).has_value());
            STRCMP_CONTAINS(("peer=" + (own.*member).to_string()).c_str(), host.log().c_str());
        }
        CHECK(holds_within(start_bound, [&] { return host.is_ready(); }));
        LONGS_EQUAL(1, host.count("address_awaited"));
        LONGS_EQUAL(1, host.count("started"));
    }
    /// Checks that a process that waits for an address ends with 0 when it gets `number`.
    void check_stops_while_waiting(int number)
    {
        const foreign_socket holder{settings.packets, SOCK_DGRAM};
        edged_process host{settings};
        host.start();
        CHECK(holds_within(start_bound, [&] { return host.count("address_awaited") > 0; }));
        host.signal(number);
        const auto ended = host.wait(1s);
        CHECK(ended.has_value());
        LONGS_EQUAL(0, ended->code);
    }
};

// Failure: a process ended with 1 because an earlier one, or any other program, still held one of its addresses.
TEST(edged_addresses, waits_for_each_address_that_another_program_holds)
{
    check_waits_for(&host_settings::packets, SOCK_DGRAM);
    check_waits_for(&host_settings::readiness, SOCK_STREAM);
    check_waits_for(&host_settings::peers, SOCK_DGRAM);
    check_waits_for(&host_settings::peers, SOCK_STREAM);
}

// Failure: the process that was started while the one before it drained ended with 1, again and again.
TEST(edged_addresses, follows_a_process_that_drains)
{
    edged_process earlier{settings};
    earlier.start();
    CHECK(holds_within(start_bound, [&] { return earlier.is_ready(); }));
    earlier.signal(SIGTERM);
    edged_process next{settings};
    next.start();
    const auto ended = earlier.wait(stop_bound);
    CHECK(ended.has_value());
    LONGS_EQUAL(0, ended->code);
    CHECK(holds_within(start_bound, [&] { return next.is_ready(); }));
}

// Failure: a process ended with 1 because the machine did not have its address yet.
TEST(edged_addresses, waits_for_an_address_that_the_machine_does_not_have)
{
    auto elsewhere = settings;
    elsewhere.packets = base::endpoint::make_v4(missing_address, settings.packets.port());
    edged_process host{settings};
    host.write_settings(elsewhere.text());
    host.start();
    CHECK(holds_within(start_bound, [&] { return host.count("address_awaited") > 0 || !host.is_running(); }));
    CHECK(host.is_running());
    // Settings that name another address are used at once.
    host.write_settings(settings.text());
    CHECK(holds_within(start_bound, [&] { return host.is_ready(); }));
}

TEST(edged_addresses, ends_when_asked_to_while_it_waits)
{
    check_stops_while_waiting(SIGTERM);
    check_stops_while_waiting(SIGINT);
}
