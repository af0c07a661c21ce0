#include "dispatch_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using namespace galenabay::dispatch;
using namespace galenabay::dispatch::testing;

namespace
{

/// Names of the deciding host and of its witness, for two hosts "h0" and "h1".
struct host_pair
{
    std::string decider;
    std::string witness;
};

std::vector<membership::live_host> two_hosts()
{
    return {make_host("h0", "a"), make_host("h1", "a")};
}

dispatcher make_settled(const std::string& self, const config::service& service, base::duration age)
{
    dispatcher subject{make_settings(self)};
    subject.on_revision(make_revision(service), at(0s));
    const auto hosts = two_hosts();
    subject.on_hosts(hosts, at(0s));
    for (base::duration time{0}; time <= age; time += 500ms)
    {
        subject.on_tick(at(time));
    }
    return subject;
}

host_pair find_decider(const config::service& service)
{
    auto subject = make_settled("h0", service, 0s);
    const auto acted = subject.on_request(make_request(service, method::get, 999, 999), false, at(0s));
    return all_of<relay_request>(acted).empty() ? host_pair{"h0", "h1"} : host_pair{"h1", "h0"};
}

} // namespace

TEST_GROUP(claims)
{
    config::service service = make_service(2);
    host_pair names = find_decider(service);
    request asked = make_request(service, method::post, 10);
};

TEST(claims, a_post_is_sent_only_after_the_witness_has_accepted)
{
    auto subject = make_settled(names.decider, service, 60s);
    const auto first = subject.on_request(asked, true, at(60s));
    CHECK_EQUAL(0U, all_of<send_to_upstream>(first).size());
    const auto intents = all_of<send_intent>(first);
    CHECK_EQUAL(1U, intents.size());
    CHECK_EQUAL(names.witness, intents[0].host);
    const auto granted = subject.on_intent_reply(names.witness, asked.key, intents[0].sequence, true, at(60s + 1ms));
    CHECK_EQUAL(1U, all_of<send_to_upstream>(granted).size());
}

TEST(claims, a_request_whose_claim_is_declined_is_refused_as_unknown_and_never_runs)
{
    auto subject = make_settled(names.decider, service, 60s);
    const auto intents = all_of<send_intent>(subject.on_request(asked, true, at(60s)));
    auto acted = subject.on_intent_reply(names.witness, asked.key, intents[0].sequence, false, at(60s + 1ms));
    for (base::duration time = 60s; time <= 66s; time += 100ms)
    {
        const auto more = subject.on_tick(at(time));
        acted.insert(acted.end(), more.begin(), more.end());
    }
    CHECK_EQUAL(0U, all_of<send_to_upstream>(acted).size());
    CHECK_EQUAL(1U, all_of<refuse>(acted).size());
    CHECK_FALSE(all_of<refuse>(acted)[0].known_not_run);
}

TEST(claims, a_witness_accepts_one_claim_on_a_request_and_declines_every_other)
{
    auto subject = make_settled(names.witness, service, 60s);
    const auto accepted = [&](const std::string& from, std::uint64_t sequence)
    {
        const auto acted = subject.on_intent(from, asked.key, intent_to_run, sequence, at(60s));
        return all_of<send_intent_reply>(acted)[0].accepted;
    };
    CHECK_TRUE(accepted("h7", 1));
    CHECK_TRUE(accepted("h7", 1));
    CHECK_FALSE(accepted("h7", 2));
    CHECK_FALSE(accepted("h8", 1));
}

TEST(claims, a_witness_that_takes_over_refuses_as_unknown)
{
    auto subject = make_settled(names.witness, service, 60s);
    subject.on_intent(names.decider, asked.key, intent_to_run, 1, at(60s));
    const std::vector<membership::live_host> alone{make_host(names.witness, "a")};
    subject.on_hosts(alone, at(61s));
    const auto acted = subject.on_request(asked, false, at(61s));
    CHECK_EQUAL(0U, all_of<send_to_upstream>(acted).size());
    CHECK_EQUAL(1U, all_of<refuse>(acted).size());
    CHECK_FALSE(all_of<refuse>(acted)[0].known_not_run);
}

TEST(claims, a_paused_host_claims_again_before_it_sends)
{
    auto busy = make_service(1);
    auto subject = make_settled(names.decider, busy, 60s);
    std::vector<send_to_upstream> sent;
    for (std::uint16_t id = 0; id < 5; ++id)
    {
        const auto value = make_request(busy, method::post, id, id);
        const auto intents = all_of<send_intent>(subject.on_request(value, true, at(60s)));
        const auto acted = subject.on_intent_reply(names.witness, value.key, intents[0].sequence, true, at(60s));
        const auto found = all_of<send_to_upstream>(acted);
        sent.insert(sent.end(), found.begin(), found.end());
    }
    CHECK_EQUAL(3U, sent.size());
    // Paused for three seconds; the first event after it is an answer that frees
    // a slot.
    const auto first = make_request(busy, method::post, 0, 0);
    const auto resumed = subject.on_answer(make_answer(sent[0], first), at(63s));
    CHECK_EQUAL(0U, all_of<send_to_upstream>(resumed).size());
    CHECK_EQUAL(2U, all_of<send_intent>(subject.on_tick(at(63s + 10ms))).size());
}

TEST(claims, a_restarted_host_waits_for_every_possible_witness)
{
    dispatcher subject{make_settings(names.decider)};
    subject.on_revision(make_revision(service), at(0s));
    const std::vector<membership::listed_host> listed{
        {"h0", "a", {}, {}, false}, {"h1", "a", {}, {}, false}, {"h2", "a", {}, {}, false}};
    subject.on_listed_hosts(listed, at(0s));
    const auto hosts = two_hosts();
    subject.on_hosts(hosts, at(0s));
    for (base::duration time{0}; time <= 10s; time += 500ms)
    {
        subject.on_tick(at(time));
    }
    // "h2" is listed, hasn't left and isn't live: it may have run the request.
    const auto intents = all_of<send_intent>(subject.on_request(asked, true, at(10s)));
    const auto acted = subject.on_intent_reply(names.witness, asked.key, intents[0].sequence, true, at(10s + 1ms));
    CHECK_EQUAL(0U, all_of<send_to_upstream>(acted).size());
}

TEST(claims, claims_are_replicated_to_a_new_witness)
{
    auto subject = make_settled(names.decider, service, 60s);
    const auto intents = all_of<send_intent>(subject.on_request(asked, true, at(60s)));
    subject.on_intent_reply(names.witness, asked.key, intents[0].sequence, true, at(60s));
    const std::vector<membership::live_host> changed{make_host(names.decider, "a"), make_host("h5", "a")};
    subject.on_hosts(changed, at(61s));
    const auto replicated = all_of<send_intent>(subject.on_tick(at(61s)));
    CHECK_EQUAL(1U, replicated.size());
    STRCMP_EQUAL("h5", replicated[0].host.c_str());
    CHECK_EQUAL(asked.key, replicated[0].key);
}

TEST(claims, a_leaving_host_relays_idempotent_requests_and_refuses_the_rest_as_not_run)
{
    const auto busy = make_service(1);
    auto subject = make_settled(names.decider, busy, 60s);
    for (std::uint16_t id = 0; id < 3; ++id)
    {
        subject.on_request(make_request(busy, method::get, id, id), true, at(60s));
    }
    const auto post = make_request(busy, method::post, 10, 10);
    const auto intents = all_of<send_intent>(subject.on_request(post, true, at(60s)));
    subject.on_intent_reply(names.witness, post.key, intents[0].sequence, true, at(60s));
    subject.on_request(make_request(busy, method::get, 11, 11), true, at(60s));
    const auto acted = subject.on_leave(at(60s + 5ms));
    CHECK_EQUAL(1U, all_of<relay_request>(acted).size());
    const auto refused = all_of<refuse>(acted);
    CHECK_EQUAL(1U, refused.size());
    CHECK_EQUAL(post.key, refused[0].key);
    CHECK_TRUE(refused[0].known_not_run);
}
