#include "steer_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using namespace galenabay::steer;
using namespace galenabay::steer::test;

namespace
{

upstream_entry make_upstream_in(const std::string& data_centre, std::uint64_t number)
{
    auto entry = make_upstream("i-" + std::to_string(number), number);
    entry.data_centre = data_centre;
    return entry;
}

/// Returns how many of `new_flows` leave the data centre "east" when each of the four upstreams
/// there has `local_flows`, and each one elsewhere `remote_flows`, through other hosts.
int flows_that_leave(int new_flows, std::uint32_t local_flows, std::uint32_t remote_flows)
{
    steering_options options;
    options.data_centre = "east";
    steerer core{options, 7};
    core.on_configuration(make_configuration(1));
    std::vector<upstream_entry> entries;
    for (std::uint64_t number = 1; number <= 4; ++number)
    {
        entries.push_back(make_upstream_in("east", number));
        entries.push_back(make_upstream_in("west", 10 + number));
    }
    core.on_upstream_list(entries, {}, at(0s));
    for (const auto& entry : entries)
    {
        const auto flows = entry.data_centre == "east" ? local_flows : remote_flows;
        core.on_remote_view(token_of(entry), {.flows = flows, .open_requests = 0, .answered_ago = {}}, at(0s));
    }
    int left = 0;
    for (int port = 1; port <= new_flows; ++port)
    {
        left += core.on_packet(syn(static_cast<std::uint16_t>(port)), at(10ms)).upstream_number > 10 ? 1 : 0;
    }
    return left;
}

} // namespace

TEST_GROUP(upstream_selection){};

// Pattern: the crest of a wave passes through the data centres one after the other. The
// difference in load is no reason to send flows elsewhere.
TEST(upstream_selection, flows_stay_in_the_data_centre_at_the_crest_of_its_wave)
{
    LONGS_EQUAL(0, flows_that_leave(20, 60, 60));
    LONGS_EQUAL(0, flows_that_leave(20, 70, 60));
}

// Pattern: a service with few flows, each of a single request.
TEST(upstream_selection, flows_of_an_idle_service_stay_in_the_data_centre)
{
    LONGS_EQUAL(0, flows_that_leave(8, 1, 0));
    LONGS_EQUAL(0, flows_that_leave(8, 0, 40));
}

// Pattern: many callers move to one data centre.
TEST(upstream_selection, flows_leave_a_data_centre_that_has_much_more_load_than_the_others)
{
    CHECK(flows_that_leave(200, 400, 40) > 180);
    // At two fifths of the upstreams' capacity, a third more load is already felt.
    CHECK(flows_that_leave(200, 160, 80) > 100);
}
