#include "test_host.hpp"

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using namespace galenabay::store_test;

/// An entry host and a store into which another writer puts odd entries.
TEST_GROUP(odd_entries_in_store)
{
    base::endpoint store_address = next_endpoint();
    edge_soak::store_stub store{store_address};
    test_host host;

    void put_odd_entries()
    {
        constexpr std::size_t depth = 300'000;
        store.put("servers", "a-odd",
                  R"({"service":"feed","version":)" + std::string(depth, '[') + std::string(depth, ']') + "}");
        store.put("servers", "h-1f", R"({"service":"feed","sequence":1e400})");
        store.put("servers", "h-2f", R"("feed 127.0.0.7:8080 \ud83d")");
        auto out_of_range = registration("ready", 1);
        out_of_range.replace(out_of_range.find("8443"), 4, "70000");
        store.put("servers", "z-3f", out_of_range);
        store.put("galenabay-hosts", "edge-0", R"({"peer-address":"127.0.0.1:0","data-centre":"east"})");
        store.put("galenabay-hosts", "edge-9", R"({"peer-address":1e400})");
    }
    bool is_draining()
    {
        const auto known = host.upstream();
        return known && known->draining;
    }
};

// Failure (review cases 2 and 4): odd entries of another writer ended the process, or kept a host
// that watches the store from all later changes.
TEST(odd_entries_in_store, a_watching_host_follows_the_upstreams_and_the_configuration)
{
    store.put("config", "main", configuration(1));
    store.put("servers", "i-1", registration("ready", 1));
    host.start("edge-1", store_address);
    CHECK(holds_within(start_bound, [&] { return host.version_in_force() == 1 && host.upstream(); }));
    put_odd_entries();
    store.put("servers", "i-1", registration("draining", 2));
    store.put("config", "main", configuration(2));
    CHECK(holds_within(in_force_bound, [&] { return host.version_in_force() == 2 && is_draining(); }));
    LONGS_EQUAL(1, host.state("servers")->upstreams.entries.size());
}

// Failure (review cases 2 and 4): a host that started while the entries were there ended, or had
// no list of upstreams.
TEST(odd_entries_in_store, a_host_that_starts_reads_the_others)
{
    store.put("config", "main", configuration(1));
    put_odd_entries();
    store.put("servers", "i-1", registration("ready", 1));
    host.start("edge-1", store_address);
    CHECK(holds_within(start_bound, [&] { return host.version_in_force() == 1 && host.upstream(); }));
    LONGS_EQUAL(1, host.state("servers")->upstreams.entries.size());
    store.put("servers", "i-1", registration("draining", 2));
    CHECK(holds_within(in_force_bound, [&] { return is_draining(); }));
}

// Failure (issue 36): a host never read the pages behind a name that no call can contain, and was
// never ready.
TEST(odd_entries_in_store, a_page_that_ends_with_a_very_long_name_is_not_the_last)
{
    constexpr int stub_page_size = 50;
    store.put("config", "main", configuration(1));
    for (int i = 1; i < stub_page_size; ++i)
    {
        store.put("servers", "a-" + std::to_string(i), "{}");
    }
    store.put("servers", "b" + std::string(100'000, 'x'), "{}");
    store.put("servers", "i-1", registration("ready", 1));
    host.start("edge-1", store_address);
    CHECK(holds_within(start_bound, [&] { return host.version_in_force() == 1 && host.upstream(); }));
}
