#include "test_host.hpp"

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using namespace galenabay::store_test;

/// An entry host and a store that returns to an older copy. The store's revisions after the
/// copy are given out again, until the store passes the host's position.
TEST_GROUP(restored_store)
{
    base::endpoint store_address = next_endpoint();
    edge_soak::store_stub store{store_address};
    test_host host;

    bool lists_host(const std::string& name)
    {
        return store.handle("GET", "/objects/galenabay-hosts", "").body.find(name) != std::string::npos;
    }
    bool lists_both_hosts()
    {
        return lists_host("edge-1") && lists_host("edge-2");
    }
    /// Starts two hosts, whose entries the store's copy lacks, and waits until the store lists both.
    void start_with_entries_after_the_copy(test_host & other)
    {
        store.put("servers", "i-1", registration("ready", 1));
        store.put("config", "main", configuration(1));
        store.save_copy();
        host.start("edge-1", store_address, {other.peers});
        other.start("edge-2", store_address, {host.peers});
        CHECK(holds_within(2 * start_bound, [&] { return lists_both_hosts(); }));
    }
    /// Restores the copy, and checks that both hosts write their entries again.
    void check_entries_after_restore()
    {
        store.restore();
        CHECK_FALSE(lists_both_hosts());
        CHECK(holds_within(start_bound, [&] { return lists_both_hosts(); }));
    }
    /// Lets the store's revision rise by `count`.
    void advance(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            store.put("other", "object", std::to_string(++advanced));
        }
    }
    int advanced = 0;

    /// Starts the host, and writes version 2 and a changed registration after the copy.
    void run_until_restore()
    {
        store.put("config", "main", configuration(1));
        store.put("servers", "i-1", registration("ready", 1));
        host.start("edge-1", store_address);
        CHECK(holds_within(start_bound, [&] { return host.version_in_force() == 1 && host.upstream(); }));
        store.save_copy();
        advance(10);
        store.put("config", "main", configuration(2));
        store.put("servers", "i-1", registration("ready", 2));
        CHECK(holds_within(start_bound, [&] { return host.version_in_force() == 2; }));
        CHECK(holds_within(start_bound, [&] { return host.upstream() && host.upstream()->revision.number > 10; }));
    }
};

// A configuration that was accepted while a host was away from a restored store never came
// into force there: the host watched from its position in the lost history.
TEST(restored_store, a_configuration_accepted_under_a_reissued_revision_comes_into_force)
{
    run_until_restore();
    store.set_fault(edge_soak::store_fault::busy);
    store.restore();
    store.put("config", "main", configuration(2));
    store.put("config", "main", configuration(3));
    advance(30);
    store.set_fault(edge_soak::store_fault::none);
    CHECK(holds_within(in_force_bound, [&] { return host.version_in_force() == 3; }));
}

// New flows went to an upstream that had reported that it drains: the report had a smaller
// revision than the registration that the host knew from the lost history.
TEST(restored_store, an_upstream_that_drains_under_a_reissued_revision_is_draining)
{
    run_until_restore();
    store.restore();
    store.put("servers", "i-1", registration("draining", 3));
    CHECK(holds_within(in_force_bound, [&] { return host.upstream() && host.upstream()->draining; }));
}

// An upstream stayed in use after its registration was removed at a smaller revision than the
// one known from the lost history.
TEST(restored_store, an_upstream_that_is_removed_under_a_reissued_revision_is_missing)
{
    run_until_restore();
    store.restore();
    store.put("servers", "i-2", registration("ready", 1));
    store.remove("servers", "i-1");
    CHECK(holds_within(in_force_bound,
                       [&]
                       {
                           const auto known = host.state("servers");
                           return known && known->upstreams.entries.size() == 1 &&
                                  known->upstreams.entries.front().id == "i-2";
                       }));
}

// A host that started after the restore watched from the revision of a stale list, which was
// from before it.
TEST(restored_store, a_first_list_from_before_the_restore_does_not_hide_later_changes)
{
    store.put("servers", "i-1", registration("ready", 1));
    store.put("config", "main", configuration(1));
    store.save_copy();
    advance(10);
    store.put("config", "main", configuration(2));
    // Refreshes the copy that answers stale reads.
    store.handle("GET", "/objects/config?allow-stale=1", "");
    store.restore();
    store.put("config", "main", configuration(2));
    store.put("config", "main", configuration(3));
    advance(30);
    host.start("edge-1", store_address);
    CHECK(holds_within(start_bound + in_force_bound, [&] { return host.version_in_force() == 3; }));
}

// A host that started without usable seeds did not find the fleet: the restored store had lost
// the entries of the collecting hosts, which wrote them again only after a minute.
TEST(restored_store, entries_of_hosts_are_written_again)
{
    test_host other;
    start_with_entries_after_the_copy(other);
    check_entries_after_restore();
}

// A host that does not watch the store told its registration thread of a new epoch up to 5 s late.
TEST(restored_store, entries_of_hosts_are_written_again_after_each_restore)
{
    constexpr int restores = 3;
    test_host other;
    start_with_entries_after_the_copy(other);
    for (int i = 0; i < restores; ++i)
    {
        check_entries_after_restore();
    }
}

// Hosts that started after the restore kept the older configuration of the store's copy while
// another data centre had the accepted one: a host that watches the store did not read it.
TEST(restored_store, a_new_host_takes_the_accepted_configuration_that_the_copy_lacks)
{
    store.put("servers", "i-1", registration("ready", 1));
    store.put("config", "main", configuration(1));
    store.save_copy();
    store.put("config", "main", configuration(2));
    host.start("edge-1", store_address);
    CHECK(holds_within(start_bound, [&] { return host.version_in_force() == 2; }));
    store.restore();
    // Stale answers are no older than the restore. Without seeds the hosts find each other
    // after both have begun to watch the store.
    CHECK(holds_within(start_bound,
                       [&]
                       {
                           const auto stale = store.handle("GET", "/objects/config?allow-stale=1", "").body;
                           return stale.find(configuration(1)) != std::string::npos;
                       }));
    test_host started;
    started.start("edge-2", store_address, {}, "west");
    CHECK(holds_within(start_bound, [&] { return started.version_in_force() == 1; }));
    CHECK(holds_within(start_bound + in_force_bound, [&] { return started.version_in_force() == 2; }));
}
