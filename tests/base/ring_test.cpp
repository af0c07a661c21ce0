#include <galenabay/base/ring.hpp>

#include <CppUTest/TestHarness.h>

using galenabay::base::ring;

TEST_GROUP(ring){};

TEST(ring, keeps_order_and_counts_drops)
{
    ring<int> queue{2};
    CHECK(queue.push(1));
    CHECK(queue.push(2));
    CHECK_FALSE(queue.push(3));
    LONGS_EQUAL(1, queue.drops());
    int element = 0;
    CHECK(queue.pop(element));
    LONGS_EQUAL(1, element);
    CHECK(queue.pop(element));
    LONGS_EQUAL(2, element);
    CHECK_FALSE(queue.pop(element));
}
