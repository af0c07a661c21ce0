#include "test_host.hpp"

#include <galenabay/inspect/read_fleet.hpp>

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using namespace galenabay::store_test;

/// An entry host and a store into which another writer puts entries whose brackets or quotes
/// do not match.
TEST_GROUP(damaged_entries_in_store)
{
    base::endpoint store_address = next_endpoint();
    edge_soak::store_stub store{store_address};
    test_host host;

    /// Two of each kind, with names before and between those of the others.
    void put_damaged_entries(const std::string& kind)
    {
        store.put(kind, "a-odd", R"({"service":"feed","x":{"a":1)");
        store.put(kind, "i-1x", R"("feed)");
        store.put(kind, "i-2x", R"("feed)");
        store.put(kind, "i-2y", R"({"service":"feed"}})");
        store.put(kind, "z-odd", R"({"service":["feed")");
    }
    void put_usable_entries()
    {
        store.put("config", "main", configuration(1));
        store.put("servers", "i-1", registration("ready", 1));
        store.put("servers", "i-2", registration("ready", 1));
        store.put("servers", "i-3", registration("ready", 1));
    }
    bool knows(std::size_t upstreams)
    {
        const auto known = host.state("servers");
        return known && known->upstreams.entries.size() == upstreams;
    }
    std::size_t draining()
    {
        const auto known = host.state("servers");
        std::size_t count = 0;
        for (const auto& entry : known ? known->upstreams.entries : std::vector<steer::upstream_entry>{})
        {
            count += entry.draining ? 1 : 0;
        }
        return count;
    }
    bool is_registered()
    {
        return store.handle("GET", "/objects/galenabay-hosts", "").body.find("edge-1") != std::string::npos;
    }
};

// Failure (issue 36): a host that started while such an entry was in the store was never ready,
// or lacked the upstreams between two of them.
TEST(damaged_entries_in_store, a_host_that_starts_reads_the_others)
{
    put_usable_entries();
    put_damaged_entries("servers");
    put_damaged_entries("config");
    host.start("edge-1", store_address);
    CHECK(holds_within(start_bound, [&] { return host.version_in_force() == 1 && knows(3); }));
    store.put("servers", "i-3", registration("draining", 2));
    store.put("config", "main", configuration(2));
    CHECK(holds_within(in_force_bound, [&] { return host.version_in_force() == 2 && draining() == 1; }));
}

// Failure (issue 36): a host that watched the store learnt of no change after such an entry.
TEST(damaged_entries_in_store, a_watching_host_follows_the_others)
{
    put_usable_entries();
    host.start("edge-1", store_address);
    CHECK(holds_within(start_bound, [&] { return host.version_in_force() == 1 && knows(3); }));
    CHECK(holds_within(start_bound, [&] { return is_registered(); }));
    for (std::uint64_t round = 2; round < 4; ++round)
    {
        put_damaged_entries("servers");
        put_damaged_entries("config");
        store.put("servers", "i-" + std::to_string(round), registration("draining", round));
        store.put("config", "main", configuration(round));
        CHECK(
            holds_within(in_force_bound, [&] { return host.version_in_force() == round && draining() == round - 1; }));
        store.remove("servers", "a-odd");
        store.remove("config", "i-2x");
    }
    CHECK(knows(3));
}

// Failure (issue 36): an upstream whose entry is damaged is no target, as one whose entry has a
// field that cannot be read.
TEST(damaged_entries_in_store, an_upstream_whose_entry_becomes_damaged_is_missing_until_it_is_written_again)
{
    put_usable_entries();
    host.start("edge-1", store_address);
    CHECK(holds_within(start_bound, [&] { return knows(3) && is_registered(); }));
    store.put("servers", "i-2", R"({"service":"feed)");
    CHECK(holds_within(in_force_bound, [&] { return knows(2); }));
    store.put("servers", "i-2", registration("ready", 2));
    CHECK(holds_within(in_force_bound, [&] { return knows(3); }));
}

// Failure (issue 36): a host neither found the others nor registered itself.
TEST(damaged_entries_in_store, hosts_find_each_other)
{
    put_usable_entries();
    put_damaged_entries("galenabay-hosts");
    host.start("edge-1", store_address);
    CHECK(holds_within(2 * start_bound, [&] { return is_registered(); }));
    test_host other;
    other.start("edge-2", store_address);
    const auto lists_other = [&]
    { return store.handle("GET", "/objects/galenabay-hosts", "").body.find("edge-2") != std::string::npos; };
    CHECK(holds_within(2 * start_bound, lists_other));
}

// The list continues after such a name, which is a part of the call.
TEST(damaged_entries_in_store, their_names_may_have_any_characters)
{
    put_usable_entries();
    for (const std::string& name : {std::string{"a/b"}, std::string{"a%41"}, std::string{"a b"}, std::string{"a&c=d"},
                                    std::string{"a#x?y"}, std::string{"a+b"}, std::string{"h/../x"},
                                    std::string{"\xc3\xa9"}, std::string{"h\x01"}, std::string{"\xff"}})
    {
        store.put("servers", name, R"({"service":"feed)");
    }
    store.put("servers", "z-9", registration("ready", 1));
    const auto read = inspect::read_fleet(store_address, {});
    CHECK(read.has_value());
    LONGS_EQUAL(4, read.value().store.services.at("feed").ready);
}

// Calls are priced: each of these entries costs one more call for each list, and a change of
// one a list with a growing pause before it.
TEST(damaged_entries_in_store, they_cost_few_calls)
{
    put_usable_entries();
    put_damaged_entries("servers");
    host.start("edge-1", store_address);
    CHECK(holds_within(start_bound, [&] { return knows(3) && is_registered(); }));
    const auto calls_before = store.calls();
    const auto begin = std::chrono::steady_clock::now();
    constexpr int changes = 20;
    for (int i = 0; i < changes; ++i)
    {
        store.put("servers", "a-odd", R"({"service":"feed","x":)" + std::to_string(i));
        std::this_thread::sleep_for(100ms);
    }
    const auto calls = store.calls() - calls_before;
    const auto passed = std::chrono::steady_clock::now() - begin;
    // A list has 6 pages and is followed by a watch; the third pause and later ones take at least
    // 500 ms. The watch of the configuration takes 1.5 s.
    const auto lists = static_cast<std::uint64_t>(passed / 500ms) + 3;
    CHECK(calls <= lists * 7 + static_cast<std::uint64_t>(passed / 1'500ms) + 1);
}

// Failure (issue 36): the store could not be inspected.
TEST(damaged_entries_in_store, the_report_names_them)
{
    put_usable_entries();
    put_damaged_entries("servers");
    put_damaged_entries("galenabay-hosts");
    const auto read = inspect::read_fleet(store_address, {});
    CHECK(read.has_value());
    LONGS_EQUAL(3, read.value().store.services.at("feed").ready);
    LONGS_EQUAL(5, read.value().store.unusable.size());
    STRCMP_EQUAL("a-odd (object)", read.value().store.unusable.front().c_str());
}
