#include "../../src/dispatch/admission_queue.hpp"
#include "../../src/dispatch/exchange_table.hpp"
#include "../../src/dispatch/retry_budget.hpp"
#include "../../src/dispatch/shard_map.hpp"
#include "../../src/dispatch/upstream_pool.hpp"
#include "dispatch_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace galenabay;
using namespace galenabay::dispatch;
using namespace galenabay::dispatch::testing;

namespace
{

queued_work make_work(request_key key, std::uint16_t port, base::duration expected, bool is_long = false)
{
    return {key, base::endpoint::make_v4(1, port), expected, is_long};
}

} // namespace

TEST_GROUP(admission_queue)
{
    admission_queue subject;
};

TEST(admission_queue, a_flooding_caller_waits_behind_others)
{
    for (request_key key = 1; key <= 20; ++key)
    {
        subject.push(make_work(key, 1, 10ms));
    }
    subject.push(make_work(100, 2, 10ms));
    subject.pop(true);
    CHECK_EQUAL(100U, subject.pop(true)->key);
}

TEST(admission_queue, short_work_overtakes_long_work_but_long_work_is_served_eventually)
{
    subject.push(make_work(1, 1, 100ms, true));
    std::size_t passed = 0;
    request_key next = 10;
    for (; next < 100; ++next)
    {
        subject.push(make_work(next, static_cast<std::uint16_t>(next), 5ms));
        if (subject.pop(true)->key == 1)
        {
            break;
        }
        ++passed;
    }
    CHECK_TRUE(passed >= 10 && passed <= 30);
}

TEST(admission_queue, skips_long_work_when_it_is_not_allowed)
{
    subject.push(make_work(1, 1, 1ms, true));
    CHECK_FALSE(subject.pop(false).has_value());
    subject.push(make_work(2, 2, 50ms));
    CHECK_EQUAL(2U, subject.pop(false)->key);
}

TEST_GROUP(retry_budget){};

TEST(retry_budget, stays_within_its_share)
{
    retry_budget subject;
    subject.set_percent(10);
    std::size_t taken = 0;
    for (std::size_t i = 0; i < 10'000; ++i)
    {
        subject.on_first_send();
        taken += subject.take(at(base::duration{static_cast<base::duration::rep>(i)})) ? 1 : 0;
    }
    CHECK_TRUE(taken >= 900 && taken <= 1001);
}

TEST_GROUP(exchange_table)
{
    exchange_table subject{60s};
    request first = make_request(make_service(1), method::get, 1);
    send_to_upstream sent;
    answer separate;
    exchange_id id;

    void setup() override
    {
        sent.upstream = base::endpoint::make_v4(2, 2);
        sent.service_address = first.service_address;
        sent.caller = first.caller;
        separate = make_answer(sent, first);
        separate.piggybacked = false;
        separate.message_id = 500;
        id = exchange_table::id_of(separate);
    }
};

TEST(exchange_table, a_late_answer_is_not_matched_to_a_later_request_with_the_same_token)
{
    subject.open(id, 1, 1);
    subject.abandon(id, at(1s));
    subject.open(id, 2, 2);
    CHECK_FALSE(subject.match(separate, at(2s)).has_value());
    auto own = separate;
    own.piggybacked = true;
    own.message_id = 2;
    CHECK_EQUAL(2U, *subject.match(own, at(2s)));
}

TEST(exchange_table, a_duplicate_answer_is_not_matched_to_a_later_request)
{
    subject.open(id, 1, 1);
    CHECK_EQUAL(1U, *subject.match(separate, at(1s)));
    subject.close(id, separate, at(1s));
    subject.open(id, 2, 2);
    CHECK_FALSE(subject.match(separate, at(2s)).has_value());
}

TEST_GROUP(upstream_pool)
{
    config::service service = make_service(2);
    base::random_source random{1};
    upstream_pool subject;
};

TEST(upstream_pool, answers_raise_the_concurrency_limit_of_a_new_upstream)
{
    subject.adopt(service, service.upstreams, false);
    CHECK_EQUAL(2U, subject.usable_slots(at(0s)));
    for (int i = 0; i < 16; ++i)
    {
        const auto* target = subject.choose({}, at(0s), random);
        const auto id = config::id_of(service, *target);
        subject.on_sent(id);
        subject.on_finished(id, run_outcome::succeeded, 5ms, at(0s), random);
    }
    CHECK_EQUAL(4U, subject.usable_slots(at(0s)));
}

TEST(upstream_pool, one_that_refuses_backs_off_and_one_that_fails_fast_does_not_attract_all_work)
{
    subject.adopt(service, service.upstreams, true);
    const auto bad = config::id_of(service, service.upstreams[0]);
    subject.on_sent(bad);
    subject.on_finished(bad, run_outcome::refused, 1ms, at(0s), random);
    CHECK_EQUAL(3U, subject.usable_slots(at(0s)));
    std::size_t chosen = 0;
    for (int i = 0; i < 1000; ++i)
    {
        const auto now = at(10s + i * 1ms);
        const auto* target = subject.choose({}, now, random);
        const auto id = config::id_of(service, *target);
        chosen += id == bad ? 1 : 0;
        subject.on_sent(id);
        subject.on_finished(id, id == bad ? run_outcome::failed : run_outcome::succeeded, 1ms, now, random);
    }
    CHECK_TRUE(chosen < 100);
}

TEST_GROUP(shard_map){};

TEST(shard_map, homes_follow_slots_and_do_not_depend_on_live_hosts)
{
    auto service = make_service(4);
    service.upstreams[3].data_centre = "b";
    const std::array<std::string, 2> data_centres{"a", "b"};
    const auto map = shard_map::make(service.upstreams, data_centres);
    std::size_t in_b = 0;
    for (std::uint64_t routing = 0; routing < 4000; ++routing)
    {
        in_b += map.home(base::mix(1, routing))->data_centre == "b" ? 1 : 0;
    }
    CHECK_TRUE(in_b > 850 && in_b < 1150);
}
