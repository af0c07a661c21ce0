#include <edge_soak/store_stub.hpp>
#include <galenabay/edge/edge_host.hpp>
#include <galenabay/net/http_session.hpp>
#include <galenabay/peers/message_codec.hpp>

#include <CppUTest/TestHarness.h>

#include <unistd.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace galenabay;
using namespace std::chrono_literals;

namespace
{

/// Loopback addresses that only this process uses, so that its ports are free.
constexpr std::uint32_t first_loopback = 0x7f4d0000;
constexpr std::uint16_t first_port = 7100;
/// Time within which a change must be in force, and the time for a host to start.
constexpr auto in_force_bound = 3s;
constexpr auto start_bound = 4s;

base::endpoint next_endpoint()
{
    static std::uint16_t port = first_port;
    const auto process = static_cast<std::uint32_t>(getpid()) & 0xffffU;
    return base::endpoint::make_v4(first_loopback + process, port++);
}

std::string configuration(std::uint64_t version)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"feed","host":"198.18.0.1","path-prefix":"/8443/","service":"feed"}],)"
           R"("services":[],"limits":{}})";
}

std::string registration(const std::string& state, std::uint64_t sequence)
{
    return R"({"service":"feed","address":"127.0.0.9:8443","zone":"east","version":"v1","max-concurrency":3,)"
           R"("state":")" +
           state + R"(","warmup-left-ms":0,"sequence":)" + std::to_string(sequence) + R"(,"born":1785880304094})";
}

template <typename Condition> bool holds_within(std::chrono::milliseconds limit, Condition condition)
{
    for (const auto end = std::chrono::steady_clock::now() + limit; std::chrono::steady_clock::now() < end;)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(20ms);
    }
    return condition();
}

/// An entry host in the process of the test.
struct test_host
{
    base::endpoint peers = next_endpoint();
    std::unique_ptr<edge::edge_host> running;

    void start(const std::string& name, const base::endpoint& store, std::vector<base::endpoint> seeds = {},
               const std::string& data_centre = "east")
    {
        auto started = edge::edge_host::start({.host = name,
                                               .data_centre = data_centre,
                                               .packets = next_endpoint(),
                                               .readiness = next_endpoint(),
                                               .peers = peers,
                                               .seeds = std::move(seeds),
                                               .store = store,
                                               .config_bound = in_force_bound,
                                               .stop_bound = 1s,
                                               .flow_age_limit = 60s},
                                              0);
        CHECK(started.has_value());
        running = std::make_unique<edge::edge_host>(std::move(started).value());
    }
    /// Returns the state of one kind of objects that the host serves to other hosts.
    std::optional<peers::edge_state> state(const std::string& kind) const
    {
        const auto answer = net::http_session::make(peers, 500ms)
                                .call({.step = "read_state",
                                       .method = "GET",
                                       .path = "/state/" + kind,
                                       .body = {},
                                       .expected_version = {},
                                       .timeout = 500ms,
                                       .max_response = 1U << 20U});
        const auto read = answer ? peers::decode_state(answer.value().body) : answer.error();
        return read ? std::optional{read.value()} : std::nullopt;
    }
    std::uint64_t version_in_force() const
    {
        const auto known = state("config");
        return known ? known->configuration.version : 0;
    }
    std::optional<steer::upstream_entry> upstream() const
    {
        const auto known = state("servers");
        return known && !known->upstreams.entries.empty() ? std::optional{known->upstreams.entries.front()}
                                                          : std::nullopt;
    }
};

} // namespace

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
    store.put("servers", "i-1", registration("ready", 1));
    store.put("config", "main", configuration(1));
    store.save_copy();
    test_host other;
    host.start("edge-1", store_address, {other.peers});
    other.start("edge-2", store_address, {host.peers});
    const auto are_listed = [&] { return lists_host("edge-1") && lists_host("edge-2"); };
    CHECK(holds_within(2 * start_bound, are_listed));
    store.restore();
    CHECK_FALSE(are_listed());
    CHECK(holds_within(start_bound, are_listed));
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
