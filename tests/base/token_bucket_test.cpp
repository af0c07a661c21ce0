#include <galenabay/base/token_bucket.hpp>

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using namespace std::chrono_literals;

TEST_GROUP(token_bucket){};

TEST(token_bucket, allows_a_burst_and_then_the_rate)
{
    base::token_bucket budget{10, 5};
    std::size_t taken = 0;
    for (base::time_point now{}; now < base::time_point{10s}; now += 1ms)
    {
        taken += budget.take(now) ? 1U : 0U;
    }
    CHECK(taken >= 104 && taken <= 105);
    LONGS_EQUAL(taken, budget.taken());
    LONGS_EQUAL(10'000 - taken, budget.refused());
}

TEST(token_bucket, reports_when_the_next_token_is_available)
{
    base::token_bucket budget{10, 1};
    CHECK(budget.time_until_available(base::time_point{}) == 0ms);
    CHECK(budget.take(base::time_point{}));
    CHECK(budget.time_until_available(base::time_point{}) == 100ms);
    CHECK_FALSE(budget.take(base::time_point{99ms}));
    CHECK(budget.take(base::time_point{100ms}));
}

TEST(token_bucket, long_idle_time_adds_at_most_the_burst)
{
    base::token_bucket budget{1000, 2};
    const base::time_point late{240h};
    CHECK(budget.take(late));
    CHECK(budget.take(late));
    CHECK_FALSE(budget.take(late));
}
