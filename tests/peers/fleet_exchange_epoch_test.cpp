#include "virtual_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using namespace galenabay::peers;
using namespace galenabay::peers::test;

TEST_GROUP(fleet_exchange_epoch){};

// Hosts took the state of a host from before a restore of the store for the newer one, because
// its revision had the larger number, and so undid later reports.
TEST(fleet_exchange_epoch, upstreams_of_a_later_epoch_are_newer_whatever_their_number)
{
    virtual_fleet fleet{2, 3};
    for (auto& one : fleet.hosts())
    {
        one.own.upstreams_revision = {.epoch = 1, .number = 90};
    }
    auto& restored = fleet.hosts().front();
    restored.own.upstreams_revision = {.epoch = 2, .number = 20};
    fleet.run(8s);
    CHECK_FALSE(restored.exchange->with_newer_upstreams({2, 20}, fleet.now()).has_value());
    std::size_t behind = 0;
    for (auto& one : fleet.hosts())
    {
        behind += one.exchange->with_newer_upstreams({1, 90}, fleet.now()) == restored.address ? 1 : 0;
    }
    CHECK(behind >= 2);
}

// Loads, votes and membership name hosts and starts of upstreams, not revisions of the store:
// a restore must neither lose nor repeat them.
TEST(fleet_exchange_epoch, loads_votes_and_live_hosts_outlast_an_epoch_of_the_store)
{
    virtual_fleet fleet{2, 4};
    constexpr steer::upstream_token token = 77;
    for (auto& one : fleet.hosts())
    {
        one.own.upstreams_revision = {.epoch = 1, .number = 90};
        one.own.loads = {{.token = token, .flows = 2, .open_requests = 1}};
        one.own.silent = {token};
    }
    fleet.run(10s);
    for (auto& one : fleet.hosts())
    {
        one.own.upstreams_revision = {.epoch = 2, .number = 20};
    }
    fleet.run(10s);
    for (auto& one : fleet.hosts())
    {
        LONGS_EQUAL(7, one.exchange->live_count(fleet.now()));
        LONGS_EQUAL(14, one.exchange->remote_loads(fleet.now()).at(token).flows);
        LONGS_EQUAL(7, one.exchange->votes(fleet.now()).at(token).silent);
        CHECK_FALSE(one.exchange->with_newer_upstreams({2, 20}, fleet.now()).has_value());
    }
}
