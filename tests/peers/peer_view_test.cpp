#include <galenabay/peers/peer_view.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

using namespace galenabay;
using namespace galenabay::peers;
using namespace std::chrono_literals;

namespace
{

base::time_point at(base::duration since_start)
{
    return base::time_point{1h} + since_start;
}

base::endpoint address_of(int host)
{
    return base::endpoint::make_v4(0x0a010000U + static_cast<std::uint32_t>(host), 7720);
}

std::string name_of_host(int host)
{
    return "edge-" + std::to_string(host);
}

host_status make_status(int host, std::uint64_t sequence, const std::string& data_centre = "east")
{
    host_status status;
    status.name = name_of_host(host);
    status.started_us = 100;
    status.sequence = sequence;
    status.data_centre = data_centre;
    status.follows_store = true;
    return status;
}

/// Updates `view` twice a second, as a host does, from `begin` to `end`. Returns whether
/// the host follows the store at the end.
bool follows_after(peer_view& view, base::duration begin, base::duration end)
{
    bool follows = false;
    for (auto now = begin; now <= end; now += 500ms)
    {
        follows = view.update_following(at(now));
    }
    return follows;
}

constexpr auto configuration_bound = 3s;

} // namespace

TEST_GROUP(peer_view){};

TEST(peer_view, ignores_old_statuses_and_its_own)
{
    peer_view view{name_of_host(0), "east"};
    CHECK(view.on_status(make_status(1, 5), address_of(1), at(0s)));
    CHECK_FALSE(view.on_status(make_status(1, 5), address_of(1), at(0s)));
    CHECK_FALSE(view.on_status(make_status(1, 4), address_of(1), at(0s)));
    CHECK_FALSE(view.on_status(make_status(0, 9), address_of(0), at(0s)));
    LONGS_EQUAL(1, view.live_count(at(0s)));
}

TEST(peer_view, a_restart_counts_even_when_the_time_of_day_jumped_back)
{
    peer_view view{name_of_host(0), "east"};
    CHECK(view.on_status(make_status(1, 50), address_of(1), at(0s)));
    auto restarted = make_status(1, 1);
    restarted.started_us = 50;
    CHECK_FALSE(view.on_status(restarted, address_of(1), at(100ms)));
    CHECK(view.on_status(restarted, address_of(1), at(3s)));
}

TEST(peer_view, exactly_one_host_of_a_data_centre_follows_the_store)
{
    constexpr int hosts = 9;
    int followers = 0;
    for (int self = 0; self < hosts; ++self)
    {
        peer_view view{name_of_host(self), "east"};
        for (int other = 0; other < hosts; ++other)
        {
            view.on_status(make_status(other, 1), address_of(other), at(0s));
        }
        followers += follows_after(view, 0s, 1s) ? 1 : 0;
    }
    LONGS_EQUAL(1, followers);
}

TEST(peer_view, another_host_follows_when_the_first_is_silent_loses_the_store_or_leaves)
{
    constexpr int hosts = 9;
    for (int self = 0; self < hosts; ++self)
    {
        peer_view view{name_of_host(self), "east"};
        for (int other = 0; other < hosts; ++other)
        {
            view.on_status(make_status(other, 1), address_of(other), at(0s));
        }
        CHECK(follows_after(view, 0s, configuration_bound));
        for (int other = 0; other < hosts; ++other)
        {
            auto lost = make_status(other, 2);
            lost.follows_store = other % 2 == 0;
            lost.leaving = other % 2 == 0;
            view.on_status(lost, address_of(other), at(4s));
        }
        CHECK(follows_after(view, 4s, 4s + configuration_bound));
    }
}

TEST(peer_view, hosts_take_over_in_the_order_of_their_ranks)
{
    constexpr int hosts = 9;
    int at_once = 0;
    for (int self = 0; self < hosts; ++self)
    {
        peer_view view{name_of_host(self), "east"};
        for (int other = 0; other < hosts; ++other)
        {
            auto idle = make_status(other, 1);
            idle.follows_store = false;
            view.on_status(idle, address_of(other), at(0s));
        }
        at_once += follows_after(view, 0s, 1s) ? 1 : 0;
    }
    LONGS_EQUAL(1, at_once);
}

TEST(peer_view, a_started_host_waits_for_statuses_before_it_follows)
{
    peer_view view{name_of_host(0), "east"};
    CHECK_FALSE(view.update_following(at(0s)));
    for (int other = 1; other < 9; ++other)
    {
        view.on_status(make_status(other, 1), address_of(other), at(500ms));
    }
    peer_view alone{name_of_host(0), "east"};
    CHECK_FALSE(follows_after(alone, 0s, 500ms));
    CHECK(alone.update_following(at(1s)));
}

TEST(peer_view, the_first_host_returns_lost_hosts_once_and_only_while_most_others_are_live)
{
    int removers = 0;
    for (int self = 0; self < 9; ++self)
    {
        peer_view view{name_of_host(self), "east"};
        view.on_listed("edge-lost", address_of(99), at(0s));
        for (int other = 0; other < 9; ++other)
        {
            view.on_status(make_status(other, 1), address_of(other), at(60s));
        }
        const auto lost = view.expire(at(61s));
        removers += lost.empty() ? 0 : 1;
        CHECK(view.expire(at(62s)).empty());
    }
    LONGS_EQUAL(1, removers);

    peer_view cut_off{name_of_host(0), "east"};
    for (int other = 1; other < 9; ++other)
    {
        cut_off.on_status(make_status(other, 1), address_of(other), at(0s));
    }
    CHECK(cut_off.expire(at(70s)).empty());
}

TEST(peer_view, an_entry_that_is_listed_again_does_not_keep_a_silent_hosts_address)
{
    peer_view view{name_of_host(0), "east"};
    view.on_status(make_status(1, 1), address_of(1), at(0s));
    view.on_listed(name_of_host(1), address_of(1), at(50s));
    view.expire(at(61s));
    LONGS_EQUAL(0, view.addresses(true).size());
}

TEST(peer_view, distinguishes_the_hosts_of_its_data_centre_from_the_others)
{
    peer_view view{name_of_host(0), "east"};
    for (int other = 1; other < 9; ++other)
    {
        view.on_status(make_status(other, 1, "west"), address_of(other), at(0s));
    }
    LONGS_EQUAL(0, view.addresses(true).size());
    LONGS_EQUAL(8, view.addresses(false).size());
}

TEST(peer_view, does_not_wait_for_followers_of_other_data_centres)
{
    peer_view view{name_of_host(0), "east"};
    for (int other = 1; other < 9; ++other)
    {
        view.on_status(make_status(other, 1, "west"), address_of(other), at(0s));
    }
    CHECK(follows_after(view, 0s, 1s));
}

TEST(peer_view, a_listed_host_has_an_address_before_its_first_status)
{
    peer_view view{name_of_host(0), "east"};
    view.on_listed(name_of_host(1), address_of(1), at(0s));
    LONGS_EQUAL(1, view.addresses(true).size());
    LONGS_EQUAL(1, view.addresses(false).size());
    LONGS_EQUAL(0, view.live_count(at(0s)));
    view.expire(at(61s));
    LONGS_EQUAL(0, view.addresses(true).size());
}

TEST(peer_view, selects_different_hosts_of_its_own_data_centre_first)
{
    peer_view view{name_of_host(0), "east"};
    base::random_source random{1};
    for (int other = 1; other < 9; ++other)
    {
        auto status = make_status(other, 1, other < 4 ? "east" : "west");
        status.configuration_version = 7;
        view.on_status(status, address_of(other), at(0s));
    }
    CHECK_FALSE(view.with_newer_configuration(7, random, at(0s)).has_value());
    std::vector<base::endpoint> asked;
    for (int i = 0; i < 100; ++i)
    {
        asked.push_back(*view.with_newer_configuration(6, random, at(0s)));
    }
    std::sort(asked.begin(), asked.end());
    asked.erase(std::unique(asked.begin(), asked.end()), asked.end());
    LONGS_EQUAL(3, asked.size());
}

TEST(peer_view, sums_loads_and_votes_of_live_hosts)
{
    peer_view view{name_of_host(0), "east"};
    for (int other = 1; other <= 3; ++other)
    {
        auto status = make_status(other, 1);
        status.loads = {{.token = 9, .flows = 2, .open_requests = 1}};
        status.silent = {4};
        view.on_status(status, address_of(other), at(other == 3 ? 0s : 1s));
    }
    LONGS_EQUAL(6, view.total_loads(at(1s)).at(9).flows);
    LONGS_EQUAL(3, view.votes(at(1s)).at(4).silent);
    LONGS_EQUAL(4, view.total_loads(at(2s)).at(9).flows);
    LONGS_EQUAL(2, view.votes(at(2s)).at(4).silent);
}
