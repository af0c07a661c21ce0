#include "../../src/edge/shared_state.hpp"

#include <galenabay/base/steady_clock.hpp>

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace galenabay;
using namespace galenabay::edge;
using adapter::object_kind;
using namespace std::chrono_literals;

TEST_GROUP(shared_state)
{
    shared_state state{base::endpoint::make_v4(0x0ac80107, 8169)};
    base::endpoint peer = base::endpoint::make_v4(0x0a010001, 7720);
};

TEST(shared_state, a_read_request_returns_the_peer_once_and_for_its_kind_only)
{
    state.request_read(object_kind::configuration, peer);
    CHECK_FALSE(state.take_read_request(object_kind::upstreams).has_value());
    CHECK(state.take_read_request(object_kind::configuration) == peer);
    CHECK_FALSE(state.take_read_request(object_kind::configuration).has_value());
}

// Failure: the packet thread collects estimates that nobody reads, or as often as a client asks.
TEST(shared_state, a_report_is_made_on_request_and_twice_a_second_at_most)
{
    auto& report = state.answer_times;
    const base::time_point now{1h};
    CHECK_FALSE(report.is_requested());
    CHECK(report.read(now) == nullptr);
    CHECK(report.is_requested());
    report.withdraw();
    report.publish({.upstreams = {}, .left_out = 7}, now);
    CHECK_FALSE(report.is_requested());
    LONGS_EQUAL(7, report.read(now + 499ms)->left_out);
    CHECK_FALSE(report.is_requested());
    CHECK(report.read(now + 500ms) == nullptr);
    CHECK(report.is_requested());
}

TEST(shared_state, removals_are_taken_once_and_an_empty_request_adds_none)
{
    state.request_removal({});
    CHECK(state.wait_for_registration_work(false, 0, 1ms).empty());
    state.request_removal({"edge-1", "edge-2"});
    LONGS_EQUAL(2, state.wait_for_registration_work(false, 0, 10s).size());
    CHECK(state.wait_for_registration_work(false, 0, 1ms).empty());
}

// Failure: the registration thread learned of a new epoch of the store when its wait had ended.
TEST(shared_state, a_new_epoch_of_the_store_ends_the_wait_for_registration_work)
{
    state.observe_store_epoch(1);
    CHECK(state.wait_for_registration_work(false, 1, 1ms).empty());
    const auto begun = base::steady_now();
    std::thread observer{[&]
                         {
                             std::this_thread::sleep_for(20ms);
                             state.observe_store_epoch(2);
                         }};
    CHECK(state.wait_for_registration_work(false, 1, 10s).empty());
    observer.join();
    CHECK(base::steady_now() - begun < 5s);
}

TEST(shared_state, a_host_does_not_follow_the_store_at_its_start)
{
    CHECK_FALSE(state.follows.load());
}
