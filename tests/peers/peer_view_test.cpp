#include <galenabay/peers/peer_view.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

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

member member_of(int host)
{
    return {.name = name_of_host(host), .address = address_of(host), .data_centre = "east"};
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

/// Updates `view` ten times a second, as a host does that the store serves, from `begin` to `end`. Returns whether
/// the host watches the store at the end.
bool watches_after(peer_view& view, base::duration begin, base::duration end)
{
    bool watches = false;
    for (auto now = begin; now <= end; now += 100ms)
    {
        if (view.take_store_check(at(now)))
        {
            view.on_store_checked(true, at(now));
        }
        watches = view.update_watch(true, at(now));
    }
    return watches;
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

TEST(peer_view, exactly_one_of_the_hosts_that_watch_the_store_goes_on)
{
    constexpr int hosts = 9;
    int watchers = 0;
    for (int self = 0; self < hosts; ++self)
    {
        peer_view view{name_of_host(self), "east"};
        CHECK(watches_after(view, 0s, 2s));
        for (int other = 0; other < hosts; ++other)
        {
            view.on_status(make_status(other, 1), address_of(other), at(2s));
        }
        watchers += watches_after(view, 2s, 3s) ? 1 : 0;
    }
    LONGS_EQUAL(1, watchers);
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
        CHECK(watches_after(view, 0s, configuration_bound));
        for (int other = 0; other < hosts; ++other)
        {
            auto lost = make_status(other, 2);
            lost.follows_store = other % 2 == 0;
            lost.leaving = other % 2 == 0;
            view.on_status(lost, address_of(other), at(4s));
        }
        CHECK(watches_after(view, 4s, 4s + configuration_bound));
    }
}

// Failure: a host took its knowledge of restarts for current while the watching host could not read the store.
TEST(peer_view, a_host_that_lost_the_store_or_is_silent_does_not_count_as_follower)
{
    peer_view view{name_of_host(0), "east"};
    auto status = make_status(1, 1);
    view.on_status(status, address_of(1), at(0s));
    CHECK(view.has_follower(at(1s)) && !view.has_follower(at(2s)));
    ++status.sequence;
    status.follows_store = false;
    view.on_status(status, address_of(1), at(1s));
    CHECK_FALSE(view.has_follower(at(1s)));
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
        at_once += watches_after(view, 0s, 1s) ? 1 : 0;
    }
    LONGS_EQUAL(1, at_once);
}

TEST(peer_view, a_started_host_waits_for_statuses_before_it_follows)
{
    peer_view view{name_of_host(0), "east"};
    CHECK_FALSE(watches_after(view, 0s, 400ms));
    for (int other = 1; other < 9; ++other)
    {
        view.on_status(make_status(other, 1), address_of(other), at(500ms));
    }
    CHECK_FALSE(watches_after(view, 500ms, 2s));
    peer_view alone{name_of_host(0), "east"};
    CHECK_FALSE(watches_after(alone, 0s, 900ms));
    CHECK(watches_after(alone, 1s, 1s));
}

TEST(peer_view, the_first_host_returns_lost_hosts_once_and_only_while_most_others_are_live)
{
    int removers = 0;
    for (int self = 0; self < 9; ++self)
    {
        peer_view view{name_of_host(self), "east"};
        view.on_listed({.name = "edge-lost", .address = address_of(99), .data_centre = "east"}, true, at(0s));
        view.on_listed(member_of(98), false, at(0s));
        for (int other = 0; other < 9; ++other)
        {
            view.on_status(make_status(other, 1), address_of(other), at(60s));
        }
        const auto lost = view.expire(at(61s));
        removers += lost == std::vector<std::string>{"edge-lost"} ? 1 : 0;
        CHECK(lost.size() <= 1);
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
    view.on_listed(member_of(1), true, at(50s));
    view.expire(at(61s));
    LONGS_EQUAL(0, view.local_members().size());
}

TEST(peer_view, distinguishes_the_hosts_of_its_data_centre_from_the_others)
{
    peer_view view{name_of_host(0), "east"};
    for (int other = 1; other < 9; ++other)
    {
        view.on_status(make_status(other, 1, "west"), address_of(other), at(0s));
    }
    LONGS_EQUAL(0, view.local_members().size());
    LONGS_EQUAL(8, view.remote_members().size());
    LONGS_EQUAL(0, view.live_count(at(0s)));
}

TEST(peer_view, does_not_wait_for_followers_of_other_data_centres)
{
    peer_view view{name_of_host(0), "east"};
    for (int other = 1; other < 9; ++other)
    {
        view.on_status(make_status(other, 1, "west"), address_of(other), at(0s));
    }
    CHECK(watches_after(view, 0s, 1s));
}

TEST(peer_view, a_listed_host_has_an_address_before_its_first_status)
{
    peer_view view{name_of_host(0), "east"};
    CHECK(view.on_listed({.name = name_of_host(1), .address = address_of(1), .data_centre = {}}, true, at(0s)));
    CHECK_FALSE(view.on_listed(member_of(1), true, at(0s)));
    LONGS_EQUAL(1, view.local_members().size());
    LONGS_EQUAL(0, view.live_count(at(0s)));
    view.expire(at(61s));
    LONGS_EQUAL(0, view.local_members().size());
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
    constexpr int times = 100;
    asked.reserve(times);
    for (int i = 0; i < times; ++i)
    {
        asked.push_back(*view.with_newer_configuration(6, random, at(0s)));
    }
    std::sort(asked.begin(), asked.end());
    asked.erase(std::unique(asked.begin(), asked.end()), asked.end());
    LONGS_EQUAL(3, asked.size());
}

TEST(peer_view, sums_loads_and_votes_of_live_hosts_of_its_data_centre)
{
    peer_view view{name_of_host(0), "east"};
    for (int other = 1; other <= 4; ++other)
    {
        auto status = make_status(other, 1, other == 4 ? "west" : "east");
        status.with_loads = true;
        status.loads = {{.token = 9, .flows = 2, .open_requests = 1}};
        status.silent = {4};
        view.on_status(status, address_of(other), at(other == 3 ? 0s : 1s));
    }
    const auto flows = [&](base::duration now)
    {
        load_totals totals;
        view.add_loads(totals, at(now));
        return totals.at(9).flows;
    };
    const auto silent = [&](base::duration now)
    {
        vote_totals votes;
        view.add_votes(votes, at(now));
        return votes.at(4).silent;
    };
    LONGS_EQUAL(6, flows(1s));
    LONGS_EQUAL(3, silent(1s));
    LONGS_EQUAL(3, view.reporting_count(at(1s)));
    LONGS_EQUAL(4, flows(2s));
    LONGS_EQUAL(2, silent(2s));
}

TEST(peer_view, a_host_that_names_a_longer_interval_is_live_for_longer)
{
    peer_view view{name_of_host(0), "east"};
    auto status = make_status(1, 1);
    status.interval = 2s;
    view.on_status(status, address_of(1), at(0s));
    LONGS_EQUAL(1, view.live_count(at(6s)));
    LONGS_EQUAL(0, view.live_count(at(7s)));
}

TEST(peer_view, hosts_agree_on_the_first_ranked_ones)
{
    constexpr int hosts = 9;
    std::vector<std::string> named;
    int ranked = 0;
    for (int self = 0; self < hosts; ++self)
    {
        peer_view view{name_of_host(self), "east"};
        for (int other = 0; other < hosts; ++other)
        {
            view.on_status(make_status(other, 1), address_of(other), at(0s));
        }
        ranked += view.ranks_among(2, at(0s)) ? 1 : 0;
        for (const auto& one : view.first_ranked(2, at(0s)))
        {
            named.push_back(one.name);
        }
    }
    LONGS_EQUAL(2, ranked);
    std::sort(named.begin(), named.end());
    named.erase(std::unique(named.begin(), named.end()), named.end());
    LONGS_EQUAL(2, named.size());
}

TEST(peer_view, an_equal_digest_of_a_live_local_host_names_its_revision)
{
    peer_view view{name_of_host(0), "east"};
    auto older = make_status(1, 1);
    older.upstreams_digest = 41;
    older.upstreams_revision = {.epoch = 1, .number = 90};
    auto newer = make_status(2, 1);
    newer.upstreams_digest = 41;
    newer.upstreams_revision = {.epoch = 2, .number = 20};
    auto other = make_status(3, 1);
    other.upstreams_digest = 42;
    other.upstreams_revision = {.epoch = 3, .number = 20};
    view.on_status(older, address_of(1), at(0s));
    view.on_status(newer, address_of(2), at(0s));
    view.on_status(other, address_of(3), at(0s));
    const steer::store_revision expected{.epoch = 2, .number = 20};
    CHECK(view.upstreams_revision_of(41, at(0s)) == expected);
    CHECK_FALSE(view.upstreams_revision_of(43, at(0s)).has_value());
    CHECK_FALSE(view.upstreams_revision_of(41, at(30s)).has_value());
}

// Failure: one host would own all starting upstreams of a data centre and get too few SYNs for them.
TEST(peer_view, ranks_by_a_key_agree_between_hosts_and_spread_over_them)
{
    constexpr int host_count = 5;
    std::vector<peer_view> views;
    for (int own = 0; own < host_count; ++own)
    {
        views.emplace_back(name_of_host(own), "east");
        for (int other = 0; other < host_count; ++other)
        {
            views.back().on_status(make_status(other, 1), address_of(other), at(0s));
        }
        views.back().on_status(make_status(100, 1, "west"), address_of(100), at(0s));
    }
    std::vector<int> first(host_count);
    for (std::uint64_t key = 0; key < 100; ++key)
    {
        std::vector<bool> taken(host_count);
        for (int own = 0; own < host_count; ++own)
        {
            const auto rank = *views[static_cast<std::size_t>(own)].rank_for(key, at(100ms));
            CHECK(rank < host_count && !taken[rank]);
            taken[rank] = true;
            first[static_cast<std::size_t>(own)] += rank == 0 ? 1 : 0;
        }
    }
    CHECK(*std::min_element(first.begin(), first.end()) > 5);
    // The others are listed in the same order.
    const auto listed = views.front().ranked_for(7, host_count, at(100ms));
    LONGS_EQUAL(host_count - 1, listed.size());
    std::size_t last = 0;
    for (const auto& one : listed)
    {
        const auto own =
            std::find_if(views.begin() + 1, views.end(),
                         [&](const peer_view& view) { return view.addresses_of({one}, at(100ms)).empty(); });
        const auto rank = *own->rank_for(7, at(100ms));
        CHECK(last == 0 || rank > last);
        last = rank;
    }
    LONGS_EQUAL(2, views.front().ranked_for(7, 2, at(100ms)).size());
    views.front().set_leaving(true);
    CHECK_FALSE(views.front().rank_for(1, at(100ms)).has_value());
}
