#include <galenabay/revision/call_budget.hpp>
#include <galenabay/revision/watcher.hpp>

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace galenabay;
using namespace std::chrono_literals;

TEST_GROUP(call_budget){};

TEST(call_budget, allows_a_burst_and_then_the_rate)
{
    revision::call_budget budget{10, 5};
    std::size_t taken = 0;
    for (base::time_point now{}; now < base::time_point{10s}; now += 1ms)
    {
        taken += budget.take(now) ? 1U : 0U;
    }
    CHECK(taken >= 104 && taken <= 105);
    LONGS_EQUAL(taken, budget.taken());
    LONGS_EQUAL(10'000 - taken, budget.refused());
}

TEST(call_budget, says_when_the_next_call_is_due)
{
    revision::call_budget budget{10, 1};
    CHECK(budget.wait(base::time_point{}) == 0ms);
    CHECK(budget.take(base::time_point{}));
    CHECK(budget.wait(base::time_point{}) == 100ms);
    CHECK_FALSE(budget.take(base::time_point{99ms}));
    CHECK(budget.take(base::time_point{100ms}));
}

TEST(call_budget, long_idle_time_gives_no_more_than_the_burst)
{
    revision::call_budget budget{1000, 2};
    const base::time_point late{240h};
    CHECK(budget.take(late));
    CHECK(budget.take(late));
    CHECK_FALSE(budget.take(late));
}

TEST(call_budget, watchers_are_few_and_agreed_on)
{
    std::vector<std::string> hosts;
    for (int i = 0; i < 488; ++i)
    {
        hosts.push_back("host-" + std::to_string(i));
    }
    std::size_t watchers = 0;
    for (const auto& host : hosts)
    {
        watchers += revision::is_watcher(hosts, host) ? 1U : 0U;
    }
    LONGS_EQUAL(revision::watchers_per_data_centre, watchers);
    CHECK(revision::is_watcher({}, "alone"));
}
