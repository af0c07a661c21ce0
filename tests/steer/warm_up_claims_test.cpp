#include "steer_fixture.hpp"

#include <galenabay/steer/warm_up_claims.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <utility>
#include <vector>

using namespace galenabay;
using namespace galenabay::steer;
using namespace galenabay::steer::test;

namespace
{

constexpr double rate = 4;
constexpr auto warm_up_time = 8s;

upstream_entry starting_upstream(std::uint64_t number)
{
    auto entry = make_upstream("i-" + std::to_string(number), number);
    entry.warm_up_left = warm_up_time;
    return entry;
}

} // namespace

TEST_GROUP(warm_up_budget){};

// Failure: a host that gets its new flows unevenly sends more of them in a second than the bound on
// all hosts leaves room for, or more than its part of the rate on average.
TEST(warm_up_budget, catching_up_adds_no_flow_to_any_checked_span)
{
    for (const double part : {0.2, 0.25, 0.667, 0.9, 1.0, 1.3, 4.0, 12.5})
    {
        base::random_source random{static_cast<std::uint64_t>(part * 1'000)};
        warm_up_budget budget;
        std::vector<base::duration> sent;
        const auto length = 200s;
        for (base::duration now{0}; now < length;
             now += base::duration{random.below(static_cast<std::uint64_t>(1e6 / part))})
        {
            if (budget.has_token(at(now)))
            {
                budget.take(part, at(now), warm_up_budget::pacing::catch_up);
                sent.push_back(now);
            }
        }
        for (const auto span : warm_up_budget::checked_spans)
        {
            const auto bound = static_cast<std::size_t>(std::chrono::duration<double>(span).count() * part) + 1;
            for (std::size_t first = 0; first + bound < sent.size(); ++first)
            {
                CHECK(sent[first + bound] - sent[first] > span);
            }
        }
        CHECK(static_cast<double>(sent.size()) <= part * std::chrono::duration<double>(length).count() + 2);
    }
}

// Failure: a holder that may catch up by more flows sends more of them in a second than the limit leaves for it.
TEST(warm_up_budget, a_larger_allowance_bounds_each_checked_span)
{
    for (const auto& [part, allowed] : {std::pair{0.8, 2U}, {0.667, 1U}, {1.0, 3U}, {4.0, 6U}, {4.0, 5U}})
    {
        base::random_source random{allowed};
        warm_up_budget budget;
        std::vector<base::duration> sent;
        for (base::duration now{0}; now < 200s; now += base::duration{random.below(2'000'000)})
        {
            // Callers come together, so that all tokens are used.
            for (auto at_once = now; at_once < now + 5ms; at_once += 1ms)
            {
                if (budget.has_token(at(at_once)))
                {
                    budget.take(part, at(at_once), warm_up_budget::pacing::catch_up, allowed);
                    sent.push_back(at_once);
                }
            }
        }
        for (const auto span : warm_up_budget::checked_spans)
        {
            const auto at_depth_one = static_cast<std::size_t>(std::chrono::duration<double>(span).count() * part) + 1;
            const auto bound = std::max<std::size_t>(at_depth_one, allowed);
            for (std::size_t first = 0; first + bound < sent.size(); ++first)
            {
                CHECK(sent[first + bound] - sent[first] > span);
            }
        }
        CHECK(static_cast<double>(sent.size()) <= part * 200 + 2 + allowed);
    }
}

// Failure: each holder sent what 1.1 s allow within the first second, so that all of them together exceeded the limit:
// 40 new flows instead of 39, and 120 instead of 113.
TEST(warm_up_budget, holders_that_always_have_flows_stay_within_the_limit_together)
{
    for (const auto& [stated, overshoot, slack] : {std::array{30.0, 1.2, 3.0}, {22.0, 1.2, 5.0}, {100.0, 1.1, 3.0}})
    {
        const auto holders = static_cast<double>(share_limit(stated, overshoot, slack));
        warm_up_budget budget;
        double sent = 0;
        for (base::duration now{0}; now < 1s; now += 100us)
        {
            if (budget.has_token(at(now)))
            {
                budget.take(stated / holders, at(now), warm_up_budget::pacing::catch_up);
                ++sent;
            }
        }
        CHECK(holders > 1);
        CHECK(sent * holders <= stated * overshoot + slack);
    }
}

TEST_GROUP(warm_up_claims)
{
    upstream_registry registry{{}};
    static constexpr double overshoot = 1.5;
    share_holder self{.host = "edge-1", .process_started_us = 10};
    share_holder other{.host = "edge-2", .process_started_us = 20};
    share_holder third{.host = "edge-3", .process_started_us = 30};
    warm_up_claims claims{{.self = self, .overshoot = overshoot, .slack = 5}};
    upstream_entry entry = starting_upstream(1);
    std::size_t rank = 0;
    double stated_rate = ::rate;

    void setup() override
    {
        entry.revision = {.epoch = 1, .number = 1};
        registry.put(entry, at(0s));
    }
    std::vector<warm_up_request> update(base::duration now, bool limited = true)
    {
        return claims.update(
            registry, [&](const upstream_incarnation&) { return limited ? stated_rate : 0; },
            [&](const upstream_entry&) { return std::optional{rank}; }, at(now));
    }
    bool answer(claim_result result, base::duration now, std::uint64_t epoch = 1,
                std::vector<share_holder> holders = {})
    {
        return claims.on_answer(
            {.token = token_of(entry), .result = result, .epoch = epoch, .holders = std::move(holders)}, at(now));
    }
    warm_up_shares shares_of(std::vector<share_holder> holders) const
    {
        return {.id = entry.id, .started_ms = entry.started_ms, .epoch = 1, .holders = std::move(holders)};
    }
    bool has_token(base::duration now) const
    {
        return claims.has_token(token_of(entry), at(now));
    }
    /// Sends as many new flows as possible in three seconds from `now` on. Returns their number.
    std::size_t flows_in_three_seconds(base::duration now)
    {
        std::size_t sent = 0;
        for (const auto end = now + 3s; now < end; now += 1ms)
        {
            if (has_token(now))
            {
                claims.take_token(token_of(entry), ::rate, at(now));
                ++sent;
            }
        }
        return sent;
    }
};

TEST(warm_up_claims, the_first_candidate_asks_at_once_and_the_second_later)
{
    LONGS_EQUAL(0, update(0s).size());
    rank = 2;
    LONGS_EQUAL(0, update(5s).size());
    rank = 1;
    LONGS_EQUAL(0, update(1'400ms).size());
    LONGS_EQUAL(1, update(1'500ms).size());
    LONGS_EQUAL(0, update(3s).size());
}

TEST(warm_up_claims, a_claim_that_failed_is_repeated_and_a_taken_one_is_not)
{
    update(0s);
    LONGS_EQUAL(1, update(1s).size());
    CHECK_FALSE(answer(claim_result::failed, 1'100ms));
    LONGS_EQUAL(0, update(1'200ms).size());
    LONGS_EQUAL(1, update(1'600ms).size());
    CHECK_FALSE(answer(claim_result::taken, 1'700ms));
    LONGS_EQUAL(0, update(5s).size());
    CHECK_FALSE(claims.has_token(token_of(entry), at(5s)));
}

// Failure: another process of the same host name may have taken over during the pause.
TEST(warm_up_claims, a_pause_ends_ownership_for_good)
{
    update(0s);
    update(1s);
    CHECK(answer(claim_result::created, 1'100ms));
    CHECK(claims.has_token(token_of(entry), at(1'100ms)));
    claims.on_pause();
    CHECK_FALSE(claims.has_token(token_of(entry), at(2s)));
    LONGS_EQUAL(0, update(3s).size());
}

TEST(warm_up_claims, an_answer_that_arrives_after_a_pause_makes_no_owner)
{
    update(0s);
    update(1s);
    claims.on_pause();
    CHECK_FALSE(answer(claim_result::created, 2s));
}

// Failure: the store has returned from an older copy without the object of the owner.
TEST(warm_up_claims, an_object_created_after_a_restore_makes_no_owner)
{
    update(0s);
    update(1s);
    CHECK_FALSE(answer(claim_result::created, 1'100ms, 2));
    CHECK_FALSE(claims.has_token(token_of(entry), at(2s)));
}

TEST(warm_up_claims, the_owner_releases_a_warm_upstream_once)
{
    update(0s);
    update(1s);
    answer(claim_result::inherited, 1'100ms);
    const auto due = update(8s, false);
    LONGS_EQUAL(1, due.size());
    CHECK(due.front().what == warm_up_request::kind::release && due.front().id == "i-1");
    LONGS_EQUAL(0, update(9s, false).size());
    LONGS_EQUAL(0, claims.size());
}

// Failure: more holders than the settings leave room for, or a limit that is not a number.
TEST(warm_up_claims, the_number_of_holders_follows_from_the_limit)
{
    LONGS_EQUAL(6, share_limit(4, 1.5, 5));
    LONGS_EQUAL(2, share_limit(10, 1.2, 1));
    LONGS_EQUAL(1, share_limit(4, 1.2, 1));
    LONGS_EQUAL(1, share_limit(4, 1, 0));
    LONGS_EQUAL(1, share_limit(1e300, 0.5, 1));
    LONGS_EQUAL(1, share_limit(1e300, std::nan(""), 0));
    LONGS_EQUAL(16, share_limit(1e300, 1.5, 0));
}

TEST(warm_up_claims, a_holder_gets_its_part_of_the_rate_from_the_list_of_the_owner)
{
    update(100ms);
    CHECK_FALSE(has_token(100ms));
    CHECK(claims.on_shares(shares_of({other, self, third}), at(200ms)));
    DOUBLES_EQUAL(rate / 3, claims.share_rate(token_of(entry), at(200ms)), 1e-9);
    LONGS_EQUAL(5, flows_in_three_seconds(300ms));
    // A repeated message neither refills the bucket nor lets the process claim or tell others.
    CHECK_FALSE(claims.on_shares(shares_of({other, self, third}), at(3'300ms)));
    CHECK_FALSE(has_token(3'300ms));
    LONGS_EQUAL(0, update(3'400ms).size());
    LONGS_EQUAL(0, claims.take_announcements(at(3'400ms)).size());
    update(7'900ms);
    CHECK(has_token(7'900ms));
    CHECK_FALSE(has_token(8s));
}

// Failure: a process that the store's object does not name uses a share.
TEST(warm_up_claims, a_foreign_message_gives_no_share)
{
    const share_holder earlier_process{.host = self.host, .process_started_us = 9};
    auto unknown = shares_of({other, self});
    unknown.started_ms += 1;
    auto restored = shares_of({other, self});
    restored.epoch = 2;
    CHECK_FALSE(claims.on_shares(shares_of({other, self}), at(0s)));
    update(100ms);
    for (const auto& foreign : {shares_of({}), shares_of({other, earlier_process}), shares_of({other, third}),
                                shares_of({self, other}), unknown, restored, shares_of({max_share_holders + 1, self})})
    {
        CHECK_FALSE(claims.on_shares(foreign, at(200ms)));
        CHECK_FALSE(has_token(200ms));
    }
    update(200ms, false);
    CHECK_FALSE(claims.on_shares(shares_of({other, self}), at(200ms)));
    update(8s);
    CHECK_FALSE(claims.on_shares(shares_of({other, self}), at(8s)));
}

// Failure: a message that was queued during a pause, or a later one, gives back what the pause ended.
TEST(warm_up_claims, a_holder_gives_up_its_share_by_a_pause)
{
    update(100ms);
    CHECK(claims.on_shares(shares_of({other, self}), at(200ms)));
    claims.on_pause();
    CHECK_FALSE(claims.on_shares(shares_of({other, self}), at(1s)));
    CHECK_FALSE(has_token(1s));
    LONGS_EQUAL(0, update(2s).size());
}

// Failure: a second object lists this process too, so that it has two shares.
TEST(warm_up_claims, the_first_list_is_the_only_one)
{
    update(0s);
    LONGS_EQUAL(6, update(1s).front().max_shares);
    CHECK(claims.on_shares(shares_of({other, third, self}), at(1s)));
    CHECK_FALSE(answer(claim_result::created, 1'100ms, 1, {self, other}));
    DOUBLES_EQUAL(rate / 3, claims.share_rate(token_of(entry), at(1'100ms)), 1e-9);
}

TEST(warm_up_claims, a_candidate_gets_its_share_from_the_answer_of_the_store)
{
    update(0s);
    update(1s);
    CHECK_FALSE(answer(claim_result::taken, 1'100ms, 1, {other, self}));
    LONGS_EQUAL(7, flows_in_three_seconds(1'100ms));
}

TEST(warm_up_claims, the_owner_repeats_its_list_until_the_upstream_is_warm)
{
    update(0s);
    update(1s);
    CHECK(answer(claim_result::created, 1'100ms, 1, {self, other, third}));
    LONGS_EQUAL(5, flows_in_three_seconds(1'100ms));
    std::vector<base::duration> sent;
    for (auto now = base::duration{1'100ms}; now < 9s; now += 100ms)
    {
        update(now);
        for (const auto& list : claims.take_announcements(at(now)))
        {
            CHECK(list == shares_of({self, other, third}));
            sent.push_back(now);
        }
    }
    CHECK(
        (sent == std::vector<base::duration>{1'100ms, 1'400ms, 2'100ms, 3'100ms, 4'100ms, 5'100ms, 6'100ms, 7'100ms}));
}

// Failure: the list that the process which created the object sent out is in use, and its successor
// takes the full rate or sends another list.
TEST(warm_up_claims, the_next_process_of_the_owner_uses_the_share_of_the_owner_only)
{
    update(0s);
    update(1s);
    CHECK(answer(claim_result::inherited, 1'100ms, 1, {{.host = self.host, .process_started_us = 9}, other, self}));
    LONGS_EQUAL(5, flows_in_three_seconds(1'100ms));
    LONGS_EQUAL(0, claims.take_announcements(at(2s)).size());
}

// Failure: while the holders of a list use it, the object is removed, because the upstream seems to
// have ended or the configuration states no rate for a moment. Another host then lists others.
TEST(warm_up_claims, an_object_is_kept_until_the_warm_up_is_over)
{
    update(0s);
    update(1s);
    answer(claim_result::created, 1'100ms);
    claims.take_token(token_of(entry), rate, at(1'100ms));
    LONGS_EQUAL(0, update(1'200ms, false).size());
    LONGS_EQUAL(0, update(1'300ms).size());
    CHECK(claims.owns(token_of(entry)));
    CHECK_FALSE(has_token(1'300ms));
}

// Failure: a new configuration states a lower rate, for which the list has too many holders.
TEST(warm_up_claims, a_lower_rate_leaves_room_for_fewer_holders)
{
    update(100ms);
    CHECK(claims.on_shares(shares_of({other, third, third, third, third, self}), at(200ms)));
    CHECK(has_token(300ms));
    stated_rate = 1;
    update(400ms);
    CHECK_FALSE(has_token(400ms));
}

// Failure: a process that knew the upstream from stale lists only, and so by no epoch, became its second owner after
// the store had returned from an older copy without the object.
TEST(warm_up_claims, an_upstream_of_a_stale_list_is_not_owned_after_a_restore)
{
    entry = starting_upstream(2);
    registry.put(entry, at(0s));
    claims.on_store_epoch(1);
    update(0s);
    claims.on_store_epoch(2);
    LONGS_EQUAL(2, update(1s).size());
    CHECK_FALSE(answer(claim_result::created, 1'010ms, 2));
    CHECK_FALSE(claims.owns(token_of(entry)));
}
