#include <galenabay/inspect/fleet_report.hpp>

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using namespace galenabay::inspect;

TEST_GROUP(fleet_report)
{
    store_contents store{.revision = {.epoch = 2, .number = 40},
                         .configuration_version = 7,
                         .routes = 3,
                         .services = {{"feed", {.ready = 2, .draining = 1}}},
                         .unusable = {"i-9 (zone)"}};

    static host_answer host(std::uint64_t version, const steer::store_revision& revision)
    {
        return {.name = "edge-1",
                .data_centre = "east",
                .address = base::endpoint::make_v4(0x7f000001, 7720),
                .failure = {},
                .configuration_version = version,
                .upstreams_revision = revision,
                .upstreams = 3};
    }
};

TEST(fleet_report, a_host_is_current_with_the_configuration_and_the_epoch_of_the_store)
{
    CHECK(is_current(host(7, {2, 30}), store));
    CHECK(is_current(host(8, {2, 30}), store));
    CHECK_FALSE(is_current(host(6, {2, 30}), store));
    CHECK_FALSE(is_current(host(7, {1, 90}), store));
}

TEST(fleet_report, a_host_that_does_not_answer_makes_the_fleet_not_current)
{
    auto lost = host(0, {});
    lost.failure = base::error::make(base::error_code::timeout, "read_host", "127.0.0.1:7720", "no response");
    CHECK(is_current(fleet_report{store, {host(7, {2, 30})}}));
    CHECK_FALSE(is_current(fleet_report{store, {host(7, {2, 30}), lost}}));
}

TEST(fleet_report, describes_store_services_unusable_objects_and_hosts)
{
    const auto lines = describe(fleet_report{store, {host(7, {2, 30}), host(6, {2, 30})}});
    LONGS_EQUAL(6, lines.size());
    STRCMP_EQUAL("store: revision 40 of epoch 2", lines[0].c_str());
    STRCMP_EQUAL("configuration: version 7, 3 routes", lines[1].c_str());
    STRCMP_EQUAL("service feed: 2 upstreams ready, 1 draining", lines[2].c_str());
    STRCMP_EQUAL("unusable object: i-9 (zone)", lines[3].c_str());
    STRCMP_EQUAL("host edge-1 in east at 127.0.0.1:7720: configuration 7, 3 upstreams at revision 30 of epoch 2",
                 lines[4].c_str());
    STRCMP_CONTAINS(": lags", lines[5].c_str());
}
