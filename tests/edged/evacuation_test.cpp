#include "counting_upstream.hpp"

#include <edge_soak/store_stub.hpp>

#include <CppUTest/TestHarness.h>

#include <array>
#include <memory>

using namespace galenabay;
using namespace galenabay::edged_test;

namespace
{

constexpr auto evacuation_bound = 5s;
constexpr const char* kind = "evacuations";

host_settings with_bound(const base::endpoint& store, const std::string& name)
{
    host_settings settings;
    settings.name = name;
    settings.store = store;
    settings.evacuation_bound = evacuation_bound;
    return settings;
}

} // namespace

/// Processes in the data centre `east`, and upstreams in `east` and `west`.
TEST_GROUP(edged_evacuation)
{
    base::endpoint store_address = host_settings::next_address();
    edge_soak::store_stub store{store_address};
    counting_upstream east;
    counting_upstream west;
    opening_caller caller;

    void setup() override
    {
        store.put("config", "main", configuration());
        store.put("servers", "i-1", east.registration("east"));
        store.put("servers", "i-2", west.registration("west"));
    }
    /// Opens flows through a host for `time`; returns how many reached the upstreams of east and west.
    std::array<std::size_t, 2> open_flows(const edged_process& host, std::chrono::milliseconds time)
    {
        std::array<std::size_t, 2> opened{};
        holds_within(time,
                     [&]
                     {
                         caller.open(host.settings().packets);
                         opened[0] += east.take();
                         opened[1] += west.take();
                         return false;
                     });
        return opened;
    }
    /// Returns true when a host's new flows go to its own data centre, which has no reason to be avoided.
    bool uses_east(const edged_process& host)
    {
        return open_flows(host, 100ms)[0] > 0;
    }
    /// Returns true when a host has adopted the evacuation of east and its new flows stay away from there. Without the
    /// evacuation they may do so for a moment, too, since the upstreams of this test do not answer them.
    bool follows_evacuation(const edged_process& host)
    {
        const auto log = host.log();
        const auto adopted = log.rfind("event=evacuation_adopted ");
        return adopted != std::string::npos &&
               log.substr(adopted, log.find('\n', adopted) - adopted).find("evacuated=east ") != std::string::npos &&
               !uses_east(host);
    }
};

// Failure: a host that has just started does not know of an evacuation that all others follow.
TEST(edged_evacuation, a_host_that_starts_during_an_evacuation_opens_no_flow_there)
{
    store.put(kind, "east", "{}");
    edged_process host{with_bound(store_address, "edge-1")};
    host.start();
    std::array<std::size_t, 2> opened{};
    // Callers' packets arrive while it starts, and after it is ready.
    CHECK(holds_within(start_bound,
                       [&]
                       {
                           const auto now = open_flows(host, 20ms);
                           opened[0] += now[0];
                           return host.is_ready();
                       }));
    const auto later = open_flows(host, 500ms);
    LONGS_EQUAL(0, opened[0] + later[0]);
    CHECK(later[1] > 0);
}

// Failure: a host takes flows as ready although it cannot know which data centres are evacuated, or never gets ready
// after such a start.
TEST(edged_evacuation, a_host_is_not_ready_while_it_cannot_read_the_evacuations)
{
    store.set_fault_of(kind, edge_soak::store_fault::busy);
    edged_process host{with_bound(store_address, "edge-1")};
    host.start();
    CHECK(holds_within(start_bound, [&] { return host.count("configuration_adopted") > 0; }));
    CHECK_FALSE(holds_within(2s, [&] { return host.is_ready(); }));
    store.set_fault_of(kind, edge_soak::store_fault::none);
    CHECK(holds_within(start_bound, [&] { return host.is_ready(); }));
}

// Failure: an evacuation or its end is lost between the end of one watch and the list that follows.
TEST(edged_evacuation, changes_while_watches_are_cut_and_the_history_is_discarded_take_effect)
{
    edged_process host{with_bound(store_address, "edge-1")};
    host.start();
    CHECK(holds_within(start_bound, [&] { return host.is_ready(); }));
    const auto disturb = [&]
    {
        store.compact();
        store.cut_watches();
    };
    CHECK(uses_east(host));
    for (int round = 0; round < 3; ++round)
    {
        store.cut_watches();
        store.put(kind, "east", "{}");
        disturb();
        CHECK(holds_within(evacuation_bound, [&] { return follows_evacuation(host); }));
        CHECK_FALSE(uses_east(host));
        store.cut_watches();
        store.remove(kind, "east");
        disturb();
        CHECK(holds_within(evacuation_bound, [&] { return uses_east(host); }));
    }
    // An evacuation that is withdrawn at once has no effect that lasts.
    store.put(kind, "east", "{}");
    store.remove(kind, "east");
    disturb();
    CHECK(holds_within(evacuation_bound, [&] { return uses_east(host); }));
}

// Failure: deployments that do not evacuate data centres pay for calls of the kind.
TEST(edged_evacuation, without_a_bound_in_the_settings_no_call_for_the_kind_is_made)
{
    auto settings = with_bound(store_address, "edge-1");
    settings.evacuation_bound = {};
    edged_process host{settings};
    host.start();
    store.put(kind, "east", "{}");
    CHECK(holds_within(start_bound, [&] { return host.is_ready(); }));
    CHECK(uses_east(host));
    std::this_thread::sleep_for(1s);
    CHECK(uses_east(host));
    CHECK(store.calls_of("config") > 0);
    LONGS_EQUAL(0, store.calls_of(kind));
    LONGS_EQUAL(0, host.count("evacuation_adopted"));
}

// Failure: an evacuation that is written after a restore of the store, under the revision of one that was withdrawn
// before, is taken for the old one for as long as a host looks back to the lost history.
TEST(edged_evacuation, an_evacuation_under_the_revision_of_a_withdrawn_one_is_in_force_within_the_bound)
{
    edged_process host{with_bound(store_address, "edge-1")};
    host.start();
    CHECK(holds_within(start_bound, [&] { return host.is_ready() && uses_east(host); }));
    store.save_copy();
    store.put(kind, "east", "{}");
    CHECK(holds_within(evacuation_bound, [&] { return follows_evacuation(host); }));
    store.remove(kind, "east");
    CHECK(holds_within(evacuation_bound, [&] { return uses_east(host); }));
    store.restore();
    store.put(kind, "east", "{}");
    CHECK(holds_within(evacuation_bound, [&] { return follows_evacuation(host); }));
}
