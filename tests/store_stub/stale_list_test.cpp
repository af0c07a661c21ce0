#include "test_host.hpp"

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using namespace galenabay::store_test;

/// Hosts that start while the store's stale answers are older than a removal and a new configuration.
TEST_GROUP(stale_first_list)
{
    base::endpoint store_address = next_endpoint();
    edge_soak::store_stub store{store_address};

    void setup() override
    {
        store.set_stale_age(60s);
        store.put("config", "main", configuration(1));
        store.put("servers", "i-1", registration("ready", 1));
        store.put("servers", "i-2", registration("ready", 1));
        for (const auto* kind : {"config", "servers"})
        {
            // Makes the copy that answers stale reads.
            store.handle("GET", "/objects/" + std::string{kind} + "?allow-stale=1", "");
        }
        store.remove("servers", "i-2");
        store.put("config", "main", configuration(2));
    }
    static bool is_current(const test_host& host)
    {
        const auto known = host.state("servers");
        return host.version_in_force() == 2 && known && known->upstreams.entries.size() == 1;
    }
};

// Failure (edge_soak seed 507): a host that began with a stale list took a restarted upstream for its earlier
// incarnation, which was warm, and sent flows to it beyond the stated rate.
TEST(stale_first_list, is_not_used_where_a_service_states_a_rate)
{
    store.put("config", "main",
              R"({"version":3,"routes":[{"name":"feed","host":"198.18.0.1","path-prefix":"/8443/","service":"feed"}],)"
              R"("services":[{"name":"feed","warmup-s":8,"warmup-per-s":5}],"limits":{}})");
    // The copy that answers stale reads is made anew.
    store.set_stale_age(0s);
    store.handle("GET", "/objects/config?allow-stale=1", "");
    store.set_stale_age(60s);
    constexpr std::uint64_t started_ms = 1'785'880'305'000;
    store.put("servers", "i-1",
              R"({"service":"feed","address":"127.0.0.9:8443","zone":"east","version":"v1","max-concurrency":3,)"
              R"("state":"ready","warmup-left-ms":8000,"sequence":1,"born":)" +
                  std::to_string(started_ms) + "}");
    test_host alone;
    alone.start("edge-1", store_address);
    std::optional<steer::upstream_entry> first;
    // A host serves its state from the time on at which it is ready.
    CHECK(holds_within(start_bound, [&] { return (first = alone.upstream()).has_value(); }));
    LONGS_EQUAL(started_ms, first->started_ms);
}

// Failure: after a start, an upstream that had left and an older configuration stayed in use.
TEST(stale_first_list, what_it_shows_is_corrected_within_the_configuration_bound)
{
    test_host alone;
    alone.start("edge-1", store_address);
    CHECK(holds_within(in_force_bound, [&] { return is_current(alone); }));
    // This host watches nothing and has to learn it from the other one.
    test_host second;
    second.start("edge-2", store_address, {alone.peers});
    CHECK(holds_within(in_force_bound, [&] { return is_current(second); }));
}
