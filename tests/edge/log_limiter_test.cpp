#include "../../src/edge/log_limiter.hpp"

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using namespace std::chrono_literals;

TEST_GROUP(log_limiter){};

TEST(log_limiter, limits_the_lines_and_counts_the_suppressed_ones)
{
    edge::log_limiter limiter{10, 5};
    int written = 0;
    for (auto now = 0ms; now < 10s; now += 1ms)
    {
        written += limiter.allow(base::time_point{1h} + now) ? 1 : 0;
    }
    CHECK(written >= 100 && written <= 106);
    LONGS_EQUAL(10'000 - written, limiter.take_suppressed());
    LONGS_EQUAL(0, limiter.take_suppressed());
}
