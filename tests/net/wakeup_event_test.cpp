#include "no_descriptors.hpp"

#include <galenabay/net/wakeup_event.hpp>

#include <CppUTest/TestHarness.h>

#include <cerrno>
#include <chrono>
#include <memory>
#include <system_error>

using namespace galenabay;
using namespace std::chrono_literals;

TEST_GROUP(wakeup_event){};

// Failure: without a descriptor the process ended by signal 6.
TEST(wakeup_event, a_lack_of_descriptors_is_an_exception)
{
    int failure = 0;
    try
    {
        // Ends before the exception is looked at: the sanitizers open descriptors to check its type.
        const test::no_descriptors none_left;
        const net::wakeup_event refused;
    }
    catch (const std::system_error& error)
    {
        failure = error.code().value();
    }
    CHECK_EQUAL(EMFILE, failure);
}

TEST(wakeup_event, a_notification_between_the_last_check_and_the_wait_ends_the_wait)
{
    net::wakeup_event event;
    event.prepare();
    event.notify();
    const auto begun = std::chrono::steady_clock::now();
    event.wait(10s);
    CHECK(std::chrono::steady_clock::now() - begun < 5s);
}

TEST(wakeup_event, a_consumer_that_found_work_gets_no_wakeup)
{
    net::wakeup_event event;
    event.prepare();
    event.cancel();
    event.notify();
    const auto begun = std::chrono::steady_clock::now();
    event.wait(20ms);
    CHECK(std::chrono::steady_clock::now() - begun >= 20ms);
}
