#include <galenabay/revision/follower.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <variant>
#include <vector>

using namespace galenabay;
using namespace std::chrono_literals;
using revision::follower;

namespace
{

config::accepted_revision make_revision(std::uint64_t number, std::uint8_t content = 1)
{
    config::accepted_revision built;
    built.number = number;
    built.digest[0] = content;
    return built;
}

base::time_point at(std::chrono::milliseconds since_start)
{
    return base::time_point{since_start};
}

template <typename Action> std::size_t count_of(const revision::actions& actions)
{
    return static_cast<std::size_t>(std::count_if(
        actions.begin(), actions.end(), [](const auto& action) { return std::holds_alternative<Action>(action); }));
}

template <typename Action> const Action& first_of(const revision::actions& actions)
{
    const auto found = std::find_if(actions.begin(), actions.end(),
                                    [](const auto& action) { return std::holds_alternative<Action>(action); });
    CHECK_TRUE_TEXT(found != actions.end(), "no such action");
    return std::get<Action>(*found);
}

} // namespace

TEST_GROUP(follower)
{
    follower instance{revision::follower_settings{}};

    std::uint64_t number() const
    {
        return instance.current() == nullptr ? 0 : instance.current()->number;
    }
};

TEST(follower, starts_without_a_revision_and_fetches_from_the_platform)
{
    const auto actions = instance.on_tick(at(0ms));
    LONGS_EQUAL(1, count_of<revision::fetch_from_platform>(actions));
    CHECK(instance.current() == nullptr);
    CHECK_FALSE(instance.platform_reachable());
    LONGS_EQUAL(0, instance.on_tick(at(100ms)).size());
}

TEST(follower, adopts_the_revision_that_the_platform_offers)
{
    instance.on_tick(at(0ms));
    const auto actions = instance.on_platform_revision(make_revision(3), at(10ms));
    LONGS_EQUAL(3, first_of<revision::adopt>(actions).number);
    LONGS_EQUAL(3, number());
    CHECK(instance.platform_reachable());
}

TEST(follower, watches_again_with_jitter_after_an_answer)
{
    instance.on_tick(at(0ms));
    instance.on_platform_revision(make_revision(3), at(10ms));
    const auto fetch = first_of<revision::fetch_from_platform>(instance.on_tick(at(200ms)));
    LONGS_EQUAL(3, fetch.after);
    CHECK(fetch.wait >= 20s && fetch.wait <= 30s);
}

TEST(follower, one_stale_read_raises_no_alarm)
{
    instance.on_tick(at(0ms));
    instance.on_platform_revision(make_revision(3), at(10ms));
    LONGS_EQUAL(0, instance.on_platform_revision(make_revision(2), at(20ms)).size());
    LONGS_EQUAL(3, number());
    const auto again = first_of<revision::fetch_from_platform>(instance.on_tick(at(1200ms)));
    CHECK(again.wait == 0s);
    LONGS_EQUAL(0, count_of<revision::raise_alarm>(instance.on_platform_revision(make_revision(3), at(1300ms))));
}

TEST(follower, restored_platform_raises_one_alarm_and_changes_nothing)
{
    instance.on_tick(at(0ms));
    instance.on_platform_revision(make_revision(7), at(10ms));
    std::size_t alarms = 0;
    for (int i = 1; i <= 20; ++i)
    {
        const auto now = at(10ms + i * 11'000ms);
        instance.on_tick(now);
        alarms += count_of<revision::raise_alarm>(instance.on_platform_revision(make_revision(5), now));
        LONGS_EQUAL(7, number());
    }
    LONGS_EQUAL(1, alarms);
    const auto actions = instance.on_platform_revision(make_revision(8), at(300s));
    LONGS_EQUAL(8, first_of<revision::adopt>(actions).number);
}

TEST(follower, platform_that_lost_everything_raises_an_alarm)
{
    instance.on_platform_revision(make_revision(7), at(10ms));
    instance.on_platform_revision({}, at(20ms));
    LONGS_EQUAL(1, count_of<revision::raise_alarm>(instance.on_platform_unchanged(at(5s))));
    LONGS_EQUAL(7, number());
}

TEST(follower, unchanged_after_an_older_answer_counts_as_another_one)
{
    instance.on_platform_revision(make_revision(7), at(10ms));
    instance.on_platform_revision(make_revision(5), at(20ms));
    const auto actions = instance.on_platform_unchanged(at(5s));
    LONGS_EQUAL(5, first_of<revision::raise_alarm>(actions).offered);
    LONGS_EQUAL(7, first_of<revision::raise_alarm>(actions).in_force);
}

TEST(follower, fetches_the_full_revision_from_a_peer_after_a_failure)
{
    instance.on_platform_revision(make_revision(3), at(10ms));
    instance.on_platform_failure(at(20ms));
    LONGS_EQUAL(3, first_of<revision::fetch_from_peer>(instance.on_peer_number("b", 4, at(30ms))).after);
    instance.on_peer_failure("b", at(40ms));
    const auto later = instance.on_tick(at(2s));
    LONGS_EQUAL(0, first_of<revision::fetch_from_peer>(later).after);
}

TEST(follower, other_content_under_the_same_number_raises_an_alarm)
{
    instance.on_platform_revision(make_revision(7, 1), at(10ms));
    const auto actions = instance.on_peer_revision("b", make_revision(7, 2), at(20ms));
    STRCMP_EQUAL("b", first_of<revision::raise_alarm>(actions).source.c_str());
    LONGS_EQUAL(1, instance.current()->digest[0]);
}

TEST(follower, outdated_peer_changes_nothing_and_raises_no_alarm)
{
    instance.on_platform_revision(make_revision(7), at(10ms));
    LONGS_EQUAL(0, instance.on_peer_revision("b", make_revision(6), at(20ms)).size());
    LONGS_EQUAL(7, number());
}

TEST(follower, fetches_the_newest_revision_from_a_peer_while_the_platform_is_down)
{
    instance.on_tick(at(0ms));
    instance.on_platform_failure(at(10ms));
    instance.on_peer_number("b", 4, at(20ms));
    const auto actions = instance.on_peer_number("c", 9, at(20ms));
    const auto tick = instance.on_tick(at(400ms));
    const auto& fetch = count_of<revision::fetch_from_peer>(actions) > 0 ? first_of<revision::fetch_from_peer>(actions)
                                                                         : first_of<revision::fetch_from_peer>(tick);
    STRCMP_EQUAL("c", fetch.host.c_str());
    LONGS_EQUAL(0, fetch.after);
    LONGS_EQUAL(9, first_of<revision::adopt>(instance.on_peer_revision("c", make_revision(9), at(500ms))).number);
}

TEST(follower, fetch_from_a_slow_peer_is_hedged_by_another)
{
    instance.on_platform_failure(at(0ms));
    const auto first = instance.on_peer_number("b", 4, at(10ms));
    LONGS_EQUAL(1, count_of<revision::fetch_from_peer>(first));
    LONGS_EQUAL(0, count_of<revision::fetch_from_peer>(instance.on_peer_number("c", 4, at(20ms))));
    const auto later = instance.on_tick(at(400ms));
    STRCMP_EQUAL("c", first_of<revision::fetch_from_peer>(later).host.c_str());
}

TEST(follower, backoff_grows_to_its_limit_and_differs_between_hosts)
{
    follower other{revision::follower_settings{.seed = 2}};
    bool differ = false;
    for (auto* each : {&instance, &other})
    {
        base::time_point now{};
        base::duration longest{0};
        each->on_tick(now);
        for (int i = 0; i < 20; ++i)
        {
            each->on_platform_failure(now);
            const auto failed = now;
            while (count_of<revision::fetch_from_platform>(each->on_tick(now)) == 0)
            {
                now += 10ms;
            }
            longest = std::max<base::duration>(longest, now - failed);
        }
        CHECK(longest > 5s && longest <= 10s + 10ms);
        static base::time_point first_end{};
        differ = differ || (first_end != base::time_point{} && first_end != now);
        first_end = now;
    }
    CHECK(differ);
}

TEST(follower, hosts_do_not_retry_in_step_after_an_outage)
{
    constexpr std::size_t hosts = 1000;
    constexpr auto step = 100ms;
    std::vector<follower> fleet;
    for (std::uint64_t seed = 0; seed < hosts; ++seed)
    {
        fleet.emplace_back(revision::follower_settings{.seed = seed});
    }
    std::vector<std::size_t> calls;
    for (base::time_point now{}; now < base::time_point{300s}; now += step)
    {
        std::size_t in_step = 0;
        for (auto& each : fleet)
        {
            if (count_of<revision::fetch_from_platform>(each.on_tick(now)) > 0)
            {
                ++in_step;
                each.on_platform_failure(now);
            }
        }
        calls.push_back(in_step);
    }
    // All hosts call at once at first. A backoff of 5 to 10 s then spreads them:
    // about 13 of 1,000 hosts call in 100 ms.
    LONGS_EQUAL(hosts, calls.front());
    const auto largest = *std::max_element(calls.end() - 600, calls.end());
    CHECK(largest < 40);
}

TEST(follower, host_that_does_not_watch_relies_on_peers_that_do)
{
    instance.on_tick(at(0ms));
    instance.on_platform_revision(make_revision(1), at(10ms));
    instance.set_watching(false);
    std::size_t calls = 0;
    for (auto now = at(20ms); now < at(600s); now += 100ms)
    {
        instance.on_peer_reachability("b", true, now);
        if (count_of<revision::fetch_from_platform>(instance.on_tick(now)) > 0)
        {
            ++calls;
            instance.on_platform_unchanged(now);
        }
    }
    CHECK(calls >= 9 && calls <= 14);
}

TEST(follower, host_that_does_not_watch_does_so_when_no_peer_reaches_the_platform)
{
    instance.on_tick(at(0ms));
    instance.on_platform_revision(make_revision(1), at(10ms));
    instance.set_watching(false);
    instance.on_peer_reachability("b", false, at(20ms));
    const auto fetch = first_of<revision::fetch_from_platform>(instance.on_tick(at(200ms)));
    CHECK(fetch.wait > 0s);
}

TEST(follower, fetch_without_an_answer_counts_as_failed)
{
    instance.on_tick(at(0ms));
    instance.on_platform_unchanged(at(10ms));
    instance.on_tick(at(200ms));
    CHECK(instance.platform_reachable());
    instance.on_tick(at(70s));
    CHECK_FALSE(instance.platform_reachable());
}
