#include "dispatch_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using namespace galenabay::dispatch;
using namespace galenabay::dispatch::testing;

TEST_GROUP(dispatcher){};

TEST(dispatcher, sends_a_request_and_delivers_its_answer_once)
{
    const auto service = make_service(2);
    auto subject = make_lone_dispatcher(service, 60s);
    const auto asked = make_request(service, method::post, 10);
    const auto sent = all_of<send_to_upstream>(subject.on_request(asked, false, at(60s)));
    CHECK_EQUAL(1U, sent.size());
    LONGS_EQUAL(5000, sent[0].deadline_ms);
    const auto answered = make_answer(sent[0], asked);
    CHECK_TRUE(subject.expects(answered));
    CHECK_EQUAL(1U, all_of<deliver>(subject.on_answer(answered, at(60s + 5ms))).size());
    CHECK_EQUAL(0U, subject.on_answer(answered, at(60s + 6ms)).size());
    LONGS_EQUAL(1, subject.counters().stray_answers);
    CHECK_EQUAL(0U, subject.open_requests());
}

TEST(dispatcher, resends_the_reply_for_a_retransmission_and_does_not_run_again)
{
    const auto service = make_service(2);
    auto subject = make_lone_dispatcher(service, 60s);
    const auto asked = make_request(service, method::post, 10);
    const auto sent = all_of<send_to_upstream>(subject.on_request(asked, false, at(60s)));
    CHECK_EQUAL(0U, subject.on_request(asked, true, at(60s + 1ms)).size());
    subject.on_answer(make_answer(sent[0], asked), at(60s + 5ms));
    const auto repeated = subject.on_request(asked, false, at(60s + 10ms));
    CHECK_EQUAL(1U, repeated.size());
    CHECK_EQUAL(1U, all_of<deliver>(repeated).size());
    LONGS_EQUAL(2, subject.counters().retransmissions);
}

TEST(dispatcher, refuses_as_unknown_when_an_upstream_does_not_answer)
{
    const auto service = make_service(1);
    auto subject = make_lone_dispatcher(service, 60s);
    const auto asked = make_request(service, method::post, 10);
    subject.on_request(asked, false, at(60s));
    std::vector<refuse> refused;
    for (base::duration time = 60s; time <= 65s; time += 100ms)
    {
        const auto found = all_of<refuse>(subject.on_tick(at(time)));
        refused.insert(refused.end(), found.begin(), found.end());
    }
    CHECK_EQUAL(1U, refused.size());
    CHECK_FALSE(refused[0].known_not_run);
}

TEST(dispatcher, retries_a_refused_post_elsewhere_and_then_refuses_as_not_run)
{
    const auto service = make_service(2);
    auto subject = make_lone_dispatcher(service, 60s);
    const auto asked = make_request(service, method::post, 10);
    const auto first = all_of<send_to_upstream>(subject.on_request(asked, false, at(60s)));
    CHECK_EQUAL(0U, subject.on_answer(make_answer(first[0], asked, 0xa3), at(60s + 1ms)).size());
    const auto second = all_of<send_to_upstream>(subject.on_tick(at(60s + 30ms)));
    CHECK_EQUAL(1U, second.size());
    CHECK_TRUE(second[0].upstream != first[0].upstream);
    LONGS_EQUAL(2, second[0].attempt);
    const auto refused = all_of<refuse>(subject.on_answer(make_answer(second[0], asked, 0xa3), at(60s + 40ms)));
    CHECK_EQUAL(1U, refused.size());
    CHECK_TRUE(refused[0].known_not_run);
    CHECK_TRUE(refused[0].max_age_s >= 2 && refused[0].max_age_s <= 6);
}

TEST(dispatcher, a_host_that_has_just_started_does_not_refuse_as_not_run)
{
    auto service = make_service(1);
    service.requests.queue_limit = 1;
    auto subject = make_lone_dispatcher(service, 10s);
    std::vector<refuse> refused;
    for (std::uint16_t id = 0; id < 8; ++id)
    {
        const auto found =
            all_of<refuse>(subject.on_request(make_request(service, method::get, id, id), false, at(10s)));
        refused.insert(refused.end(), found.begin(), found.end());
    }
    CHECK_TRUE(refused.size() >= 3);
    CHECK_TRUE(std::none_of(refused.begin(), refused.end(), [](const refuse& r) { return r.known_not_run; }));
}

TEST(dispatcher, relays_to_the_deciding_host)
{
    const auto service = make_service(2);
    std::size_t relays = 0;
    for (const char* self : {"h0", "h1"})
    {
        dispatcher subject{make_settings(self)};
        const std::vector<membership::live_host> hosts{make_host("h0", "a"), make_host("h1", "a")};
        subject.on_hosts(hosts, at(0s));
        subject.on_revision(make_revision(service), at(0s));
        const auto acted = subject.on_request(make_request(service, method::get, 1), false, at(1ms));
        relays += all_of<relay_request>(acted).size();
    }
    CHECK_EQUAL(1U, relays);
}
