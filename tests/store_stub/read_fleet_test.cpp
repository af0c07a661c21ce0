#include "test_host.hpp"

#include <galenabay/inspect/read_fleet.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace galenabay;
using namespace galenabay::store_test;

TEST_GROUP(read_fleet)
{
    base::endpoint store_address = next_endpoint();
    edge_soak::store_stub store{store_address};
};

TEST(read_fleet, shows_the_store_and_the_hosts_that_it_lists)
{
    store.put("config", "main", configuration(3));
    store.put("servers", "i-1", registration("ready", 1));
    store.put("servers", "i-2", registration("draining", 1));
    store.put("servers", "i-3", registration("asleep", 1));
    test_host host;
    host.start("edge-1", store_address);
    CHECK(holds_within(2 * start_bound,
                       [&]
                       {
                           const auto read = inspect::read_fleet(store_address, {});
                           return read && read.value().hosts.size() == 1 && inspect::is_current(read.value());
                       }));
    const auto report = inspect::read_fleet(store_address, {host.peers, next_endpoint()}).value();
    LONGS_EQUAL(3, report.store.configuration_version);
    LONGS_EQUAL(1, report.store.services.at("feed").ready);
    LONGS_EQUAL(1, report.store.services.at("feed").draining);
    STRCMP_EQUAL("i-3 (state)", report.store.unusable.at(0).c_str());
    LONGS_EQUAL(2, report.hosts.size());
    LONGS_EQUAL(3, report.hosts.front().configuration_version);
    LONGS_EQUAL(2, report.hosts.front().upstreams);
    CHECK_FALSE(report.hosts.front().answer_times_failure.has_value());
    LONGS_EQUAL(2, report.hosts.front().answer_times.upstreams.size());
    STRCMP_EQUAL("i-1", report.hosts.front().answer_times.upstreams.front().id.c_str());
    LONGS_EQUAL(0, report.hosts.front().refused_with_free_slots.value());
    CHECK(report.hosts.back().failure.has_value());
    CHECK_FALSE(inspect::is_current(report));
}

// Failure: an evacuation that is in the store and not on a host is not shown.
TEST(read_fleet, shows_the_evacuations_in_the_store_and_on_hosts)
{
    store.put("config", "main", configuration(3));
    store.put("servers", "i-1", registration("ready", 1));
    store.put("evacuations", "east", "{}");
    store.put("evacuations", "west", "[]");
    test_host follower;
    follower.start("edge-1", store_address, {}, "east", 5s);
    test_host other;
    other.start("edge-2", store_address, {}, "south");
    const auto read = [&] { return inspect::read_fleet(store_address, {follower.peers, other.peers}); };
    const auto answer_of = [](const inspect::fleet_report& report, const base::endpoint& address)
    {
        const auto found = std::find_if(report.hosts.begin(), report.hosts.end(),
                                        [&](const auto& host) { return host.address == address; });
        CHECK(found != report.hosts.end());
        return *found;
    };
    CHECK(holds_within(2 * start_bound,
                       [&]
                       {
                           const auto report = read();
                           return report &&
                                  inspect::is_current(answer_of(report.value(), follower.peers), report.value().store);
                       }));
    const auto report = read().value();
    LONGS_EQUAL(1, report.store.evacuations.evacuations.size());
    STRCMP_EQUAL("east", report.store.evacuations.evacuations.front().data_centre.c_str());
    STRCMP_EQUAL("west (spec)", report.store.unusable.at(0).c_str());
    LONGS_EQUAL(1, answer_of(report, follower.peers).evacuations->evacuations.size());
    CHECK_FALSE(answer_of(report, other.peers).evacuations.has_value());
    CHECK_FALSE(inspect::is_current(answer_of(report, other.peers), report.store));
}

TEST(read_fleet, a_store_that_does_not_answer_is_an_error_with_its_address)
{
    const auto read = inspect::read_fleet(next_endpoint(), {});
    CHECK_FALSE(read.has_value());
    STRCMP_CONTAINS("127.77.", read.error().peer().c_str());
}

// Failure: the check compares with another object than the configuration in force, or counts upstreams that take no
// new flows.
TEST(read_fleet, reads_what_a_configuration_is_checked_against)
{
    CHECK_FALSE(adapter::read_draft(store_address, 1s).value().has_value());
    store.put("config", "other", R"({"version":9,"routes":[]})");
    store.put("config", "main", configuration(3));
    store.put("servers", "i-1", registration("ready", 1));
    store.put("servers", "i-2", registration("draining", 1));
    const auto read = adapter::read_draft(store_address, 1s).value();
    LONGS_EQUAL(3, read.value().version);
    LONGS_EQUAL(1, read.value().routes.size());
    const auto capacities = inspect::read_capacities(store_address).value();
    LONGS_EQUAL(1, capacities.at("feed").upstreams);
    LONGS_EQUAL(3, capacities.at("feed").fewest_slots);
}
