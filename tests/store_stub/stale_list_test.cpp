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
