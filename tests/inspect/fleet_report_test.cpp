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
                         .data_centres = {"east", "west"},
                         .evacuations = {.revision = {.epoch = 2, .number = 40}, .evacuations = {}},
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
    auto lagging = host(6, {2, 30});
    lagging.refused_with_free_slots = 4;
    const auto lines = describe(fleet_report{store, {host(7, {2, 30}), lagging}});
    LONGS_EQUAL(7, lines.size());
    STRCMP_EQUAL("store: revision 40 of epoch 2", lines[0].c_str());
    STRCMP_EQUAL("configuration: version 7, 3 routes", lines[1].c_str());
    STRCMP_EQUAL("service feed: 2 upstreams ready, 1 draining", lines[2].c_str());
    STRCMP_EQUAL("evacuated: none", lines[3].c_str());
    STRCMP_EQUAL("unusable object: i-9 (zone)", lines[4].c_str());
    STRCMP_EQUAL("host edge-1 in east at 127.0.0.1:7720: configuration 7, 3 upstreams at revision 30 of epoch 2",
                 lines[5].c_str());
    STRCMP_CONTAINS(", 4 flows refused with free slots: lags (configuration)", lines[6].c_str());
}

// Failure: an operator does not see why a host refuses new flows while upstreams start.
TEST(fleet_report, shows_the_starting_upstreams_and_refused_flows_of_a_host)
{
    auto known = host(7, {2, 30});
    known.share_rates = {{"i-1", 4.0 / 3}, {"i-2", 4}};
    known.limited_flows = 12;
    known.relayed_syns = 13;
    known.opened_for_others = 14;
    STRCMP_CONTAINS("epoch 2, starting i-1 1.33/s, i-2 4.00/s, 12 refused by warm-up limits, 13 SYNs passed on, "
                    "14 flows opened for other hosts",
                    describe(fleet_report{store, {known}}).back().c_str());
}

// Failure: an operator takes a data centre for evacuated although a host still sends new flows there, or has not
// taken it back.
TEST(fleet_report, a_host_lags_until_it_has_evacuated_what_the_store_lists)
{
    store.evacuations.evacuations = {{.data_centre = "east", .revision_number = 39}};
    auto known = host(7, {2, 30});
    CHECK_FALSE(is_current(known, store));
    known.evacuations = steer::evacuation_set{.revision = {.epoch = 2, .number = 38}, .evacuations = {}};
    CHECK_FALSE(is_current(known, store));
    known.evacuations->evacuations = {{.data_centre = "east", .revision_number = 20}};
    CHECK(is_current(known, store));
    known.evacuations->evacuations.push_back({.data_centre = "west", .revision_number = 21});
    CHECK_FALSE(is_current(known, store));
}

// Failure: a host that has read a change after the store was listed is shown as one that lags.
TEST(fleet_report, a_host_with_newer_evacuations_than_the_list_does_not_lag)
{
    auto known = host(7, {2, 30});
    known.evacuations = steer::evacuation_set{.revision = {.epoch = 2, .number = 41},
                                              .evacuations = {{.data_centre = "east", .revision_number = 41}}};
    CHECK(is_current(known, store));
}

TEST(fleet_report, describes_evacuations_in_the_store_and_on_hosts)
{
    store.evacuations.evacuations = {{.data_centre = "east", .revision_number = 39},
                                     {.data_centre = "nowhere", .revision_number = 12}};
    auto behind = host(7, {2, 30});
    behind.evacuations = steer::evacuation_set{.revision = {.epoch = 2, .number = 38},
                                               .evacuations = {{.data_centre = "nowhere", .revision_number = 12}}};
    const auto lines = describe(fleet_report{store, {behind, host(6, {1, 30})}});
    STRCMP_EQUAL("evacuated: east since revision 39, nowhere since revision 12 (no upstreams there)", lines[3].c_str());
    STRCMP_EQUAL("host edge-1 in east at 127.0.0.1:7720: configuration 7, 3 upstreams at revision 30 of epoch 2, "
                 "evacuated nowhere at revision 38 of epoch 2: lags (evacuations)",
                 lines[5].c_str());
    STRCMP_CONTAINS("of epoch 1: lags (configuration, epoch, evacuations)", lines[6].c_str());
}

// Failure: an operator cannot tell which upstream is slow, whether all hosts agree on it, and whether the estimate is
// a measured one.
TEST(fleet_report, describes_the_estimates_of_all_hosts_for_each_upstream)
{
    auto first = host(7, {2, 30});
    first.answer_times = {
        .upstreams = {{.service = "feed", .id = "i-1", .relative = 3.5, .samples = 12, .newest_sample_ago = {}},
                      {.service = "feed", .id = "i-2"}},
        .left_out = 4};
    auto second = host(7, {2, 30});
    second.answer_times.upstreams = {{.service = "feed",
                                      .id = "i-1",
                                      .relative = 4,
                                      .samples = 10,
                                      .newest_sample_ago = std::chrono::milliseconds{240}}};
    auto older = host(7, {2, 30});
    older.answer_times_failure = base::error::make(base::error_code::not_found, "read_from_peer", "", "status 404");
    CHECK(is_current(older, store));
    const auto lines = describe(fleet_report{store, {first, second, older}});
    LONGS_EQUAL(8 + 4, lines.size());
    STRCMP_EQUAL("upstream i-1 of feed: relative answer time 3.50 to 4.00 on 2 hosts, 12 samples, newest 240 ms ago",
                 lines[8].c_str());
    STRCMP_EQUAL("upstream i-2 of feed: relative answer time 1.00 on 1 host, 0 samples, newest none", lines[9].c_str());
    STRCMP_CONTAINS("answer times without 4 upstreams", lines[10].c_str());
    STRCMP_CONTAINS("no answer times (not_found in read_from_peer: status 404)", lines[11].c_str());
}
