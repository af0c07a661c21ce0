#include <galenabay/base/ring.hpp>

#include <CppUTest/TestHarness.h>

#include <stdexcept>

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

// Failure: an update whose use ended with an exception was lost.
TEST(ring, an_element_whose_use_throws_stays_queued)
{
    ring<int> queue{2};
    queue.push(1);
    CHECK_THROWS(std::runtime_error, queue.use_first([](int) { throw std::runtime_error{"unexpected"}; }));
    int used = 0;
    CHECK(queue.use_first([&](int element) { used = element; }));
    LONGS_EQUAL(1, used);
    CHECK_FALSE(queue.use_first([](int) {}));
}
