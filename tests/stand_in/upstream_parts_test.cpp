#include <stand_in/content.hpp>
#include <upstream_stub/feed_table.hpp>
#include <upstream_stub/run_queue.hpp>

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using namespace galenabay::stand_in;

namespace
{

const base::endpoint caller = base::endpoint::make_v4(0x7f000001, 4000);
const base::endpoint host = base::endpoint::make_v4(0x7f000101, 7102);
const base::time_point start{base::duration{1'000'000}};

job make_job(std::uint16_t message_id, base::time_point deadline = {})
{
    job work;
    work.from = {host, {caller, host, 0, 0}};
    work.request.message_id = message_id;
    work.deadline = deadline;
    return work;
}

stub_settings small_settings()
{
    stub_settings settings;
    settings.slots = 2;
    settings.backlog = 1;
    settings.straggler_percent = 0;
    return settings;
}

} // namespace

TEST_GROUP(run_queue)
{
    run_queue queue{small_settings(), 1};
    std::vector<job> expired;
};

TEST(run_queue, bounds_slots_and_backlog)
{
    for (std::uint16_t id = 1; id <= 3; ++id)
    {
        CHECK(queue.try_enqueue(make_job(id)));
    }
    CHECK_FALSE(queue.try_enqueue(make_job(4)));
    LONGS_EQUAL(2, queue.start_queued(start, expired).size());
    LONGS_EQUAL(2, queue.running());
    CHECK_FALSE(queue.try_enqueue(make_job(5)));
    const auto finished = queue.take_finished(start + base::duration{60'000'000});
    LONGS_EQUAL(2, finished.size());
    CHECK(finished[0].run != finished[1].run);
    LONGS_EQUAL(1, queue.start_queued(start, expired).size());
}

TEST(run_queue, does_not_start_a_job_past_its_deadline)
{
    CHECK(queue.try_enqueue(make_job(1, start)));
    CHECK(queue.start_queued(start, expired).empty());
    LONGS_EQUAL(1, expired.size());
    LONGS_EQUAL(0, expired[0].run);
}

TEST(run_queue, cancels_by_caller_and_message_id)
{
    CHECK(queue.try_enqueue(make_job(1)));
    CHECK_FALSE(queue.cancel(host, 1).has_value());
    CHECK(queue.contains(caller, 1));
    CHECK(queue.cancel(caller, 1).has_value());
    CHECK_FALSE(queue.contains(caller, 1));
    CHECK(queue.start_queued(start, expired).empty());
}

TEST_GROUP(feed_table)
{
    feed_table feeds{2, base::duration{1'000}};
    const feed_key key{caller, 7, 1};
    const origin from{host, {caller, host, 0, 0}};
};

TEST(feed_table, keeps_the_registration_when_renewed)
{
    const auto first = feeds.add(key, from, start)->registration;
    const auto other_host = host.with_port(9);
    const auto* renewed = feeds.add(key, {other_host, from.header}, start + base::duration{5});
    CHECK(first == renewed->registration);
    CHECK(other_host == renewed->from.sender);
    feeds.remove(key);
    CHECK(first != feeds.add(key, from, start)->registration);
}

TEST(feed_table, is_bounded)
{
    CHECK(feeds.add(key, from, start) != nullptr);
    CHECK(feeds.add({caller, 8, 1}, from, start) != nullptr);
    CHECK(feeds.add({caller, 9, 1}, from, start) == nullptr);
}

TEST(feed_table, notifies_through_the_last_forwarding_host_once_per_interval)
{
    feeds.add(key, from, start);
    feeds.on_caller_packet(caller, host.with_port(1));
    LONGS_EQUAL(1, feeds.find(key)->from.sender.port());
    CHECK(feeds.take_due(start).empty());
    LONGS_EQUAL(1, feeds.take_due(start + base::duration{1'000}).size());
    CHECK(feeds.take_due(start + base::duration{1'500}).empty());
}

TEST(feed_table, ends_a_feed_whose_notification_is_reset)
{
    auto* added = feeds.add(key, from, start);
    added->sequence = 1;
    added->last_message_id = 77;
    feeds.on_reset(caller, 78);
    LONGS_EQUAL(1, feeds.size());
    feeds.on_reset(caller, 77);
    LONGS_EQUAL(0, feeds.size());
}

TEST_GROUP(content){};

TEST(content, differs_by_service_and_number_and_slices_agree)
{
    const document one{"vault", 1};
    CHECK(one.etag() != document("vault", 2).etag());
    CHECK(one.etag() != document("store", 1).etag());
    const auto whole = one.slice(0, one.size() + 10);
    LONGS_EQUAL(one.size(), whole.size());
    const auto part = one.slice(1024, 16);
    CHECK(std::equal(part.begin(), part.end(), whole.begin() + 1024));
}

TEST(content, reads_fields_and_numbers)
{
    STRCMP_EQUAL("2", std::string{field("ab=1 b=2 c=", "b")}.c_str());
    CHECK(field("ab=1 b=2", "c").empty());
    LONGS_EQUAL(17, parse_path_number("/title/17", "/title/").value());
    CHECK_FALSE(parse_path_number("/title/", "/title/").has_value());
    CHECK_FALSE(parse_path_number("/title/1x", "/title/").has_value());
}
