#include "../../src/daemon/health_prober.hpp"

#include <galenabay/wire/coap_view.hpp>

#include <CppUTest/TestHarness.h>

#include <string_view>

using namespace galenabay;
using daemon::health_change;
using daemon::health_prober;

TEST_GROUP(health_prober)
{
    health_prober prober{1};
    base::endpoint target = base::endpoint::make_v4(0x7f000201, 9001);
    std::vector<health_change> changes;

    void setup() override
    {
        config::accepted_revision revision;
        config::service service;
        service.name = "parts";
        service.kind = config::service_kind::coap;
        service.upstreams = {{"a", target, "worcester"}};
        revision.set.services = {service};
        prober.on_revision(revision, at(0));
    }

    static base::time_point at(int seconds)
    {
        return base::time_point{base::duration{seconds * 1'000'000LL}};
    }

    static std::span<const std::byte> bytes_of(std::string_view text)
    {
        return std::as_bytes(std::span{text});
    }

    std::uint64_t probe_token(int seconds)
    {
        const auto due = prober.on_tick(at(seconds), changes);
        LONGS_EQUAL(1, due.size());
        return wire::parse_coap(due.front().bytes).value().token;
    }
};

TEST(health_prober, reports_load_and_health)
{
    const auto change = prober.on_answer(target, probe_token(2), bytes_of("running=2 slots=3 healthy=1"));
    CHECK(change.has_value());
    CHECK(change->healthy);
    LONGS_EQUAL(2, change->running);
}

TEST(health_prober, ignores_answers_to_other_probes)
{
    const auto token = probe_token(2);
    CHECK_FALSE(prober.on_answer(target, token + 1, bytes_of("healthy=0")).has_value());
    CHECK_FALSE(prober.on_answer(target.with_port(1), token, bytes_of("healthy=0")).has_value());
}

TEST(health_prober, unanswered_probes_mark_unhealthy_once_until_an_answer)
{
    std::uint64_t token = 0;
    for (int second = 2; second < 10; ++second)
    {
        token = probe_token(second);
    }
    LONGS_EQUAL(1, changes.size());
    CHECK_FALSE(changes.front().healthy);
    LONGS_EQUAL(1, prober.unhealthy_count());
    CHECK(prober.on_answer(target, token, bytes_of("healthy=1"))->healthy);
    LONGS_EQUAL(0, prober.unhealthy_count());
}
