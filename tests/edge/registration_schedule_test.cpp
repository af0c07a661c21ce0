#include "../../src/edge/registration_schedule.hpp"

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using namespace galenabay::edge;
using namespace std::chrono_literals;

TEST_GROUP(registration_schedule)
{
    using step = registration_schedule::step;

    registration_schedule schedule;
    registration_schedule::situation seen{.alone = false, .should_register = true, .store_epoch = 1};
    base::time_point now{1h};

    void check_next(step expected)
    {
        LONGS_EQUAL(static_cast<int>(expected), static_cast<int>(schedule.next(seen, now)));
    }
    void register_host()
    {
        schedule.on_listed(false, 0, now);
        schedule.on_written(1, now);
    }
};

TEST(registration_schedule, lists_then_writes_when_the_store_should_list_the_host)
{
    check_next(step::list);
    schedule.on_listed(false, 0, now);
    seen.should_register = false;
    check_next(step::wait);
    CHECK(schedule.awaits_role());
    seen.should_register = true;
    check_next(step::write);
    schedule.on_written(1, now);
    check_next(step::wait);
}

// Hosts that started without usable seeds did not find the fleet for up to a minute: the store
// had lost the entries of the collecting hosts when it returned from an older copy.
TEST(registration_schedule, a_host_whose_entry_a_restore_may_have_lost_checks_it_at_once)
{
    register_host();
    seen.store_epoch = 2;
    check_next(step::list_current);
    schedule.on_listed(false, 2, now);
    check_next(step::write);
    schedule.on_written(2, now);
    check_next(step::wait);
}

TEST(registration_schedule, an_entry_that_only_a_stale_list_shows_is_not_certain)
{
    schedule.on_listed(true, 0, now);
    check_next(step::list_current);
    schedule.on_listed(true, 1, now);
    check_next(step::wait);
}

TEST(registration_schedule, a_host_without_an_entry_makes_no_call_because_of_a_restore)
{
    seen.should_register = false;
    schedule.on_listed(false, 0, now);
    seen.store_epoch = 2;
    check_next(step::wait);
}

TEST(registration_schedule, failures_are_retried_after_a_pause)
{
    register_host();
    seen.store_epoch = 2;
    schedule.on_failed(now);
    check_next(step::wait);
    CHECK(schedule.longest_wait(seen) <= 1s);
    now += 1s;
    check_next(step::list_current);
}

TEST(registration_schedule, a_lonely_host_looks_for_others_each_second)
{
    register_host();
    now += 1s;
    check_next(step::wait);
    seen.alone = true;
    check_next(step::list);
    seen.alone = false;
    now += 60s;
    check_next(step::list);
}
