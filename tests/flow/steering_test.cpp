#include "fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace galenabay;
using namespace galenabay::flow;
using namespace galenabay::flow::test;

TEST_GROUP(steering)
{
    revision_maker revisions{{make_service("parts", 5683, 1, 14), make_service("titles", 5684, 101, 4)}};
    base::endpoint parts = make_service("parts", 5683, 1, 14).address;
    base::endpoint titles = make_service("titles", 5684, 101, 4).address;
    steering host{{"host-1", 4096, 1}};
};

TEST(steering, drops_without_revision)
{
    const auto outcome = host.on_packet(caller_of(1), parts, 0, at_ms(0));
    CHECK(outcome.what == verdict::drop);
    CHECK(outcome.reason == drop_reason::no_revision);
}

TEST(steering, ignores_an_older_revision)
{
    const auto first = revisions.current();
    revisions.draft()[0].upstreams.resize(1);
    host.on_revision(revisions.accept(), at_ms(0));
    host.on_revision(first, at_ms(0));
    for (std::uint32_t i = 0; i < 100; ++i)
    {
        const auto outcome = host.on_packet(caller_of(i), parts, 0, at_ms(4000));
        CHECK(outcome.upstream_endpoint == make_upstream(1).endpoint);
    }
}

TEST(steering, spreads_flows_by_weight)
{
    revisions.draft()[0].upstreams.resize(2);
    revisions.draft()[0].upstreams[1].weight = 300;
    host.on_revision(revisions.accept(), at_ms(0));
    int second = 0;
    for (std::uint32_t i = 0; i < 4000; ++i)
    {
        const auto outcome = host.on_packet(caller_of(i), parts, 0, at_ms(4000));
        second += outcome.upstream_endpoint == make_upstream(2).endpoint ? 1 : 0;
    }
    CHECK(second > 2850 && second < 3150);
}

TEST(steering, reaches_only_upstreams_of_the_service)
{
    host.on_revision(revisions.current(), at_ms(0));
    CHECK(host.may_reach(parts, make_upstream(1).endpoint));
    CHECK_FALSE(host.may_reach(parts, make_upstream(101).endpoint));
    CHECK(host.may_reach(titles, make_upstream(101).endpoint));
    CHECK_FALSE(host.may_reach(base::endpoint::make_v4(1, 1), make_upstream(101).endpoint));
}
