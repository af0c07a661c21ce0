#include "../../src/edge/store_watch.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

using namespace galenabay;
using namespace galenabay::edge;
using namespace std::chrono_literals;

TEST_GROUP(store_watch)
{
    store_watch_options options;
    store_watch watch{options, 1};
    base::time_point now{1h};

    /// Reads a complete list that is not stale.
    void list_everything(std::uint64_t revision, std::uint64_t epoch = 1)
    {
        if (watch.next().may_be_stale)
        {
            CHECK(watch.on_page({epoch, revision - 1}, "z", false, now));
        }
        CHECK(watch.on_page({epoch, revision}, "z", false, now));
    }
};

TEST(store_watch, lists_before_it_watches)
{
    CHECK(watch.next().what == store_call::kind::list);
    CHECK_FALSE(watch.has_list());
    list_everything(40);
    CHECK(watch.has_list());
    CHECK(watch.next().what == store_call::kind::watch);
    LONGS_EQUAL(40, watch.next().revision);
}

TEST(store_watch, reads_all_pages_and_watches_from_the_first_pages_revision)
{
    list_everything(30);
    watch.on_failure(base::error_code::stale, now);
    CHECK_FALSE(watch.on_page({1, 40}, "m", true, now));
    STRCMP_EQUAL("m", watch.next().after.c_str());
    CHECK(watch.on_page({1, 45}, "z", false, now));
    LONGS_EQUAL(40, watch.next().revision);
}

TEST(store_watch, a_lost_history_starts_a_new_list_at_once)
{
    list_everything(40);
    watch.on_failure(base::error_code::stale, now);
    CHECK(watch.next().what == store_call::kind::list);
    CHECK(watch.next().not_before == now);
    STRCMP_EQUAL("", watch.next().after.c_str());
}

TEST(store_watch, a_series_of_changes_is_read_together)
{
    list_everything(40);
    watch.on_changes({1, 41}, true, now);
    CHECK(watch.next().not_before == now + options.batch_pause);
    watch.on_changes({1, 41}, false, now);
    CHECK(watch.next().not_before == now);
}

TEST(store_watch, never_watches_from_an_older_revision)
{
    list_everything(40);
    watch.on_changes({1, 50}, true, now);
    watch.on_changes({1, 45}, true, now);
    LONGS_EQUAL(50, watch.next().revision);
}

TEST(store_watch, pauses_between_failed_calls_stay_below_the_longest)
{
    for (int failure = 0; failure < 40; ++failure)
    {
        watch.on_failure(base::error_code::unavailable, now);
        CHECK(watch.next().not_before > now);
        CHECK(watch.next().not_before <= now + options.longest_retry);
    }
    list_everything(3);
    LONGS_EQUAL(0, watch.failures());
}

TEST(store_watch, a_silent_connection_is_detected_within_the_configuration_bound)
{
    constexpr auto configuration_bound = 3s;
    constexpr auto answer_timeout = 1s;
    CHECK(options.watch_wait + answer_timeout < configuration_bound);
}

TEST(store_watch, only_the_first_list_may_be_stale)
{
    CHECK(watch.next().may_be_stale);
    watch.on_failure(base::error_code::unavailable, now);
    CHECK(watch.next().may_be_stale);
    list_everything(40);
    watch.on_failure(base::error_code::stale, now);
    CHECK(watch.next().what == store_call::kind::list);
    CHECK_FALSE(watch.next().may_be_stale);
}

// Changes after a restore were never seen by a host that started at that time: its stale first
// list was from before, and the watch continued from there.
TEST(store_watch, a_current_list_precedes_the_first_watch)
{
    CHECK(watch.on_page({2, 50}, "z", false, now));
    CHECK(watch.has_list());
    CHECK(watch.next().what == store_call::kind::list);
    CHECK_FALSE(watch.next().may_be_stale);
    CHECK(watch.on_page({2, 30}, "z", false, now));
    CHECK(watch.next().what == store_call::kind::watch);
    LONGS_EQUAL(30, watch.next().revision);
}

// Changes between the store's copy and the position of before a restore were never seen: the
// store had given out the position's number again, so the watch did not fail.
TEST(store_watch, an_answer_of_another_epoch_is_not_used_and_starts_a_new_list)
{
    list_everything(40);
    CHECK_FALSE(watch.on_changes({2, 45}, true, now));
    CHECK(watch.next().what == store_call::kind::list);
    CHECK_FALSE(watch.next().may_be_stale);
    CHECK(watch.next().not_before == now);
    list_everything(30, 2);
    LONGS_EQUAL(30, watch.next().revision);
    CHECK(watch.on_changes({2, 31}, true, now));
}

// A list whose pages come from before and after a restore misses the objects that moved
// between them.
TEST(store_watch, a_list_that_spans_two_epochs_is_read_again)
{
    CHECK_FALSE(watch.on_page({1, 40}, "m", true, now));
    CHECK_FALSE(watch.on_page({2, 20}, "z", false, now));
    CHECK_FALSE(watch.has_list());
    STRCMP_EQUAL("", watch.next().after.c_str());
    CHECK_FALSE(watch.next().may_be_stale);
}

// Failure (issue 36): a change that cannot be told from those behind it was read again and again.
TEST(store_watch, changes_that_cannot_all_be_read_are_replaced_by_a_current_list)
{
    list_everything(40);
    base::duration longest{};
    for (int i = 0; i < 10; ++i)
    {
        watch.on_incomplete_changes(now);
        CHECK(watch.next().what == store_call::kind::list);
        CHECK_FALSE(watch.next().may_be_stale);
        STRCMP_EQUAL("", watch.next().after.c_str());
        CHECK(watch.next().not_before >= now + options.batch_pause / 2);
        CHECK(watch.next().not_before <= now + options.longest_retry);
        longest = std::max(longest, watch.next().not_before - now);
        LONGS_EQUAL(0, watch.failures());
        list_everything(50);
        LONGS_EQUAL(50, watch.next().revision);
    }
    CHECK(longest > options.batch_pause);
    watch.on_changes({1, 51}, true, now);
    watch.on_incomplete_changes(now);
    CHECK(watch.next().not_before <= now + options.batch_pause);
}

// Failure (issue 36): an answer that cannot be used, or is too large, was asked for again and again.
TEST(store_watch, an_answer_to_a_watch_that_cannot_be_used_is_replaced_by_a_list)
{
    for (const auto code : {base::error_code::malformed, base::error_code::out_of_range})
    {
        list_everything(40);
        watch.on_failure(code, now);
        CHECK(watch.next().what == store_call::kind::list);
        CHECK(watch.next().not_before > now);
        LONGS_EQUAL(1, watch.failures());
        watch.on_failure(code, now);
        CHECK(watch.next().what == store_call::kind::list);
    }
    list_everything(40);
    watch.on_failure(base::error_code::timeout, now);
    CHECK(watch.next().what == store_call::kind::watch);
}

// Class of failure: one call without an end. The pages of such a list took ever more memory.
TEST(store_watch, a_list_without_an_end_is_begun_again)
{
    int pages = 0;
    for (; !watch.is_endless(); ++pages)
    {
        CHECK_FALSE(watch.on_page({1, 40}, std::to_string(pages), true, now));
    }
    LONGS_EQUAL(max_list_pages, pages);
    watch.on_failure(base::error_code::malformed, now);
    STRCMP_EQUAL("", watch.next().after.c_str());
    CHECK(watch.next().may_be_stale);
    CHECK(watch.next().not_before > now);
    CHECK_FALSE(watch.is_endless());
    list_everything(40);
    CHECK(watch.has_list());
}

// Failure: a list was taken for endless, and begun again for ever, when it had 400 damaged objects, each of which ends
// a page.
TEST(store_watch, a_list_may_have_many_pages)
{
    constexpr int pages = 2'000;
    for (int i = 0; i < pages; ++i)
    {
        CHECK_FALSE(watch.on_page({1, 40}, "i-" + std::to_string(i), true, now));
        CHECK_FALSE(watch.is_endless());
    }
    CHECK(watch.on_page({1, 40}, "z", false, now));
}

// Failure: a removal without a revision of its own is applied to a set of another revision.
TEST(store_watch, a_list_replaces_changes_where_the_options_ask_for_it)
{
    options.list_after_changes = true;
    watch = store_watch{options, 1};
    list_everything(40);
    CHECK(watch.on_changes({1, 41}, false, now));
    CHECK(watch.next().what == store_call::kind::watch);
    for (const bool is_named : {true, false})
    {
        CHECK_FALSE(watch.on_changes({1, 42}, is_named, now, !is_named));
        CHECK(watch.next().what == store_call::kind::list);
        CHECK_FALSE(watch.next().may_be_stale);
        list_everything(42);
    }
}
