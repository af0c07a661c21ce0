#include "virtual_fleet.hpp"

#include <galenabay/base/random.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdint>

using namespace galenabay;
using namespace galenabay::peers;
using namespace galenabay::peers::test;

namespace
{

/// Two thirds of the shortest configuration bound of 3 s; the rest is for the calls of the new watcher and for what it
/// sends to the other hosts.
constexpr auto takeover_bound = 2s;

/// Runs `scenario` with one data centre and with many, from 2 to 195 hosts, after the hosts have found one another.
template <typename Scenario> void with_each_size(Scenario scenario)
{
    constexpr std::pair<std::size_t, std::size_t> sizes[] = {{1, 2}, {1, 9},  {1, 71}, {1, 195},
                                                             {3, 3}, {3, 24}, {3, 65}, {13, 15}};
    for (const auto& [data_centres, hosts_each] : sizes)
    {
        virtual_fleet fleet{data_centres, hosts_each};
        fleet.run(6s);
        scenario(fleet);
    }
}

/// Returns the data centres that have a host for which `is_wanted` holds.
template <typename Predicate> std::set<std::string> data_centres_with(virtual_fleet& fleet, Predicate is_wanted)
{
    std::set<std::string> found;
    for (const auto& one : fleet.hosts())
    {
        if (is_wanted(one))
        {
            found.insert(one.data_centre);
        }
    }
    return found;
}

/// Checks that each data centre with a host that the store serves is watched by such a host within `bound`.
void check_takeover(virtual_fleet& fleet, base::duration bound = takeover_bound)
{
    fleet.run(bound);
    const auto is_served = [](const auto& one) { return one.running && one.is_served; };
    const auto watches = [&](const auto& one) { return is_served(one) && one.own.follows_store; };
    CHECK(data_centres_with(fleet, is_served) == data_centres_with(fleet, watches));
}

std::uint64_t checks_of(virtual_fleet& fleet)
{
    std::uint64_t checks = 0;
    for (const auto& one : fleet.hosts())
    {
        checks += one.store_checks;
    }
    return checks;
}

} // namespace

TEST_GROUP(watch_takeover)
{
    base::random_source random{1};

    /// Lets the store serve one host of each data centre.
    void serve_one_each(virtual_fleet & fleet)
    {
        std::map<std::string, std::vector<virtual_fleet::host*>> by_data_centre;
        for (auto& one : fleet.hosts())
        {
            one.is_served = false;
            by_data_centre[one.data_centre].push_back(&one);
        }
        for (const auto& [data_centre, hosts] : by_data_centre)
        {
            hosts[random.below(hosts.size())]->is_served = true;
        }
    }
};

// Failure: after four hosts of a data centre that the store turned away, no other one called it (review/6).
TEST(watch_takeover, the_only_host_that_the_store_serves_takes_over_in_time)
{
    with_each_size(
        [this](virtual_fleet& fleet)
        {
            fleet.is_lost = [this](const auto&, const auto&) { return random.below(20) == 0; };
            for (int round = 0; round < 2; ++round)
            {
                serve_one_each(fleet);
                check_takeover(fleet);
                fleet.run(1s);
            }
        });
}

TEST(watch_takeover, the_store_turns_away_the_first_callers_of_each_data_centre)
{
    with_each_size(
        [](virtual_fleet& fleet)
        {
            std::map<std::string, std::size_t> served;
            for (auto& one : fleet.hosts())
            {
                one.is_served = !one.own.follows_store;
                served[one.data_centre] += one.is_served ? 1 : 0;
            }
            fleet.on_store_check = [&](virtual_fleet::host& one)
            {
                auto& left = served[one.data_centre];
                one.is_served = one.is_served && left <= 1;
                left -= left > 1 ? 1 : 0;
            };
            check_takeover(fleet);
        });
}

TEST(watch_takeover, sets_of_hosts_that_change_while_the_store_turns_them_away)
{
    with_each_size(
        [this](virtual_fleet& fleet)
        {
            fleet.is_lost = [this](const auto&, const auto&) { return random.below(20) == 0; };
            for (int round = 0; round < 4; ++round)
            {
                const auto percent = random.below(100);
                for (auto& one : fleet.hosts())
                {
                    one.is_served = random.below(100) >= percent;
                }
                check_takeover(fleet);
            }
        });
}

// Messages are lost while the watch moves: a host that misses the news of its loss must not wait for it.
TEST(watch_takeover, a_tenth_of_the_messages_is_lost)
{
    virtual_fleet fleet{3, 24};
    fleet.is_lost = [this](const auto&, const auto&) { return random.below(10) == 0; };
    fleet.run(6s);
    for (int round = 0; round < 8; ++round)
    {
        serve_one_each(fleet);
        check_takeover(fleet);
    }
}

// Failure: hosts that the store had become silent to went on as watchers until their calls timed out (review/8).
TEST(watch_takeover, a_silent_store_is_noticed_in_time)
{
    with_each_size(
        [](virtual_fleet& fleet)
        {
            for (auto& one : fleet.hosts())
            {
                one.is_served = !one.own.follows_store;
                one.is_silent = !one.is_served;
            }
            check_takeover(fleet);
        });
}

TEST(watch_takeover, a_watcher_whose_process_ends_is_replaced_within_the_configuration_bound)
{
    virtual_fleet fleet{3, 24};
    fleet.run(6s);
    for (auto& one : fleet.hosts())
    {
        one.running = !one.own.follows_store;
    }
    check_takeover(fleet, 3s);
}

// The store is down for all: each host calls it once per window, at a tenth of the price of other calls.
TEST(watch_takeover, calls_of_a_store_that_is_down_are_bounded_by_the_number_of_hosts)
{
    constexpr std::uint64_t seconds = 10;
    with_each_size(
        [&](virtual_fleet& fleet)
        {
            for (auto& one : fleet.hosts())
            {
                one.is_served = false;
            }
            fleet.run(2s);
            const auto before = checks_of(fleet);
            fleet.run(std::chrono::seconds{seconds});
            const auto checks = checks_of(fleet) - before;
            UT_PRINT(StringFromFormat("%zu hosts: %.1f checks/s", fleet.hosts().size(),
                                      static_cast<double>(checks) / static_cast<double>(seconds))
                         .asCharString());
            CHECK(checks <= fleet.hosts().size() * (seconds + 1));
            CHECK(checks >= fleet.hosts().size() * (seconds - 1));
            for (auto& one : fleet.hosts())
            {
                one.is_served = true;
            }
            check_takeover(fleet);
        });
}

// Only hosts whose turn comes before the news of the new watcher reaches them, within 200 ms here, call the store.
TEST(watch_takeover, few_hosts_call_the_store_when_the_watch_moves)
{
    with_each_size(
        [](virtual_fleet& fleet)
        {
            const auto before = checks_of(fleet);
            std::size_t watchers = 0;
            for (auto& one : fleet.hosts())
            {
                one.is_served = !one.own.follows_store;
                watchers += one.is_served ? 0 : 1;
            }
            fleet.run(5s);
            CHECK(checks_of(fleet) - before <= fleet.hosts().size() * 3 / 10 + 4 * watchers);
            LONGS_EQUAL(watchers, std::count_if(fleet.hosts().begin(), fleet.hosts().end(),
                                                [](const auto& one) { return one.own.follows_store; }));
        });
}

// Failure: while the store turned away both collectors of a data centre, no host of it registered, and a host that
// started without a usable seed did not find the others.
TEST(watch_takeover, a_host_that_the_store_serves_registers_when_the_collectors_are_turned_away)
{
    virtual_fleet fleet{3, 24};
    fleet.run(6s);
    for (auto& one : fleet.hosts())
    {
        one.is_served = !one.exchange->collects() && !one.own.follows_store;
    }
    fleet.run(takeover_bound + exchange_options{}.registration_delay);
    LONGS_EQUAL(3, data_centres_with(fleet, [&](const auto& one)
                                     { return one.is_served && one.exchange->should_register(fleet.now()); })
                       .size());
}

// The store may answer checks and fail the watch: each host tries that once per window.
TEST(watch_takeover, a_watch_that_fails_at_once_is_tried_once_per_window)
{
    constexpr int seconds = 20;
    watch_takeover takeover{{}};
    int watches = 0;
    for (auto now = base::time_point{1h}; now < base::time_point{1h} + std::chrono::seconds{seconds}; now += 50ms)
    {
        const bool checks = takeover.take_check(now);
        if (checks)
        {
            takeover.on_checked(true, now);
            ++watches;
        }
        takeover.update({}, checks, now);
    }
    CHECK(watches >= seconds / 2 && watches <= seconds);
}
