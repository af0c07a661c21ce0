#include "../../src/edge/warm_up_cleanup.hpp"

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using namespace galenabay::edge;
using namespace std::chrono_literals;

TEST_GROUP(warm_up_cleanup)
{
    warm_up_cleanup cleanup;
    base::time_point start{1h};
};

// Failure: the owner of an upstream stopped before it removed its object.
TEST(warm_up_cleanup, removes_an_object_that_is_unused_for_a_minute)
{
    LONGS_EQUAL(0, cleanup.on_list({"i-1-1", "i-2-1"}, {}, start).size());
    LONGS_EQUAL(0, cleanup.on_list({"i-1-1", "i-2-1"}, {}, start + 59s).size());
    const auto unused = cleanup.on_list({"i-1-1", "i-2-1", "i-3-1"}, {"i-2-1"}, start + 60s);
    LONGS_EQUAL(1, unused.size());
    STRCMP_EQUAL("i-1-1", unused.front().c_str());
}

TEST(warm_up_cleanup, an_object_that_was_gone_in_between_is_a_new_one)
{
    cleanup.on_list({"i-1-1"}, {}, start);
    cleanup.on_list({}, {}, start + 60s);
    LONGS_EQUAL(0, cleanup.on_list({"i-1-1"}, {}, start + 120s).size());
}

// Failure: an upstream that this host does not know for a moment loses its object while processes that
// it lists still use their shares, and another host lists others.
TEST(warm_up_cleanup, an_object_that_was_in_use_until_now_is_kept)
{
    cleanup.on_list({"i-1-1"}, {"i-1-1"}, start);
    cleanup.on_list({"i-1-1"}, {"i-1-1"}, start + 60s);
    LONGS_EQUAL(0, cleanup.on_list({"i-1-1"}, {}, start + 120s - 1ms).size());
    LONGS_EQUAL(1, cleanup.on_list({"i-1-1"}, {}, start + 120s).size());
}
