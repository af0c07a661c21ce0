#include "steer_fixture.hpp"

#include <galenabay/base/random.hpp>

#include <CppUTest/TestMemoryAllocator.h>

#include <new>
#include <vector>

using namespace galenabay;
using namespace galenabay::steer;
using namespace galenabay::steer::test;

TEST_GROUP(odd_input)
{
    static constexpr std::uint64_t upstreams = 6;
    static constexpr std::uint64_t ports = 40;

    base::random_source random{36};
    base::duration passed{};
    std::size_t forwarded = 0;
    std::size_t lost_flows = 0;
    std::vector<upstream_token> tokens{0, 1, 0xffffffff};

    /// A registration that may be another start, service, address or order of an earlier one.
    upstream_entry any_entry()
    {
        const auto number = 1 + random.below(upstreams);
        auto entry = make_upstream("i-" + std::to_string(number), number, random.below(3),
                                   random.below(2) == 0 ? "feed" : "other");
        entry.address = entry.address.with_port(static_cast<std::uint16_t>(8080 + random.below(2)));
        entry.draining = random.below(4) == 0;
        entry.sequence = random.below(5);
        entry.revision = any_revision();
        return entry;
    }
    store_revision any_revision()
    {
        return {.epoch = random.below(3), .number = random.below(20)};
    }
    packet_header any_packet()
    {
        packet_header header;
        header.flow = make_flow(static_cast<std::uint16_t>(random.below(ports)));
        header.flow.service_port = random.below(10) == 0 ? 9 : service_port;
        header.token = tokens[random.below(tokens.size())];
        header.sequence = static_cast<std::uint32_t>(random.below(4)) * 0x7fffffffU;
        header.acknowledged = static_cast<std::uint32_t>(random.below(4)) * 0x7fffffffU;
        header.data_size = static_cast<std::uint16_t>(random.below(3));
        header.syn = random.below(3) == 0;
        header.fin = random.below(8) == 0;
        header.rst = random.below(16) == 0;
        return header;
    }
    void run_seed(std::uint64_t seed, int steps)
    {
        random = base::random_source{seed};
        steerer tested{{.data_centre = "east", .registry = {.retention = 1s}, .max_flows = 30}, seed};
        for (int step = 0; step < steps; ++step)
        {
            passed += std::chrono::milliseconds{random.below(random.below(50) == 0 ? 5'000 : 20)};
            take_step(tested, at(passed));
        }
    }
    void take_step(steerer & tested, base::time_point now)
    {
        switch (random.below(14))
        {
        case 0:
            tested.on_configuration(
                make_configuration(random.below(9), {{random.below(2) == 0 ? "feed" : "other", 1}}));
            break;
        case 1:
            tested.on_upstream_list({any_entry(), any_entry()}, any_revision(), now);
            break;
        case 2:
            remember(tested.on_upstream(any_entry(), now));
            break;
        case 3:
            tested.on_upstream_removed("i-" + std::to_string(1 + random.below(upstreams)), any_revision(), now);
            break;
        case 4:
            lost_flows += tested.on_tick(now).resets.size();
            break;
        case 5:
            tested.on_probe(any_token(), static_cast<probe_result>(random.below(3)), now);
            break;
        case 6:
            tested.on_remote_view(any_token(),
                                  {.flows = static_cast<std::uint32_t>(random.below(1U << 31U)),
                                   .open_requests = 0xffffffff,
                                   .silence_votes = random.below(3),
                                   .unreachable_votes = random.below(4),
                                   .answered_ago = std::chrono::hours{random.below(2000)}},
                                  now);
            tested.set_peer_count(random.below(3));
            tested.check_votes(now);
            break;
        default:
            forwarded += tested.on_packet(any_packet(), now).action == steering_action::forward ? 1 : 0;
            break;
        }
    }
    upstream_token any_token()
    {
        return tokens[random.below(tokens.size())];
    }
    void remember(const steerer::outcome& effects)
    {
        lost_flows += effects.resets.size();
        for (const auto& change : effects.changes)
        {
            tokens.push_back(change.incarnation->token);
            if (tokens.size() > 30)
            {
                tokens.erase(tokens.begin());
            }
        }
    }
};

// Class of failure: something from outside ends the process. An invariant that does not hold
// would end it here, too.
TEST(odd_input, packets_registrations_and_reports_in_any_order_break_no_invariant)
{
    constexpr std::uint64_t seeds = 20;
    constexpr int steps = 5'000;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        run_seed(seed, steps);
    }
    CHECK(forwarded > 0);
    CHECK(lost_flows > 0);
}

// Failure: memory ran out while the admission of a new configuration was built. Its routes were adopted, and its
// admission never, because the version was in force by then.
TEST(odd_input, a_configuration_is_adopted_completely_or_not_at_all)
{
    test_host host{{make_upstream("i-1", 1)}};
    auto next = make_configuration(2, {{"feed", 1}, {"other", 1}});
    next.routes.front().answer_target = 400ms;
    next.routes.push_back(next.routes.front());
    next.routes.back().port += 1;
    next.limits = {{.service = "feed", .max_flows = 5}};
    // The leak check keeps a reference to it.
    static FailableMemoryAllocator memory{defaultNewAllocator()->name(), defaultNewAllocator()->alloc_name(),
                                          defaultNewAllocator()->free_name()};
    int failing = 0;
    for (std::size_t adopted = 0; adopted == 0;)
    {
        memory.failAllocNumber(++failing);
        setCurrentNewAllocator(&memory);
        try
        {
            adopted = host.core.on_configuration(next) ? 1 : 0;
        }
        catch (const std::bad_alloc&)
        {
            CHECK(failing < 1'000);
        }
        setCurrentNewAllocatorToDefault();
        memory.clearFailedAllocs();
        LONGS_EQUAL(1 + adopted, host.core.routes().version());
        LONGS_EQUAL(1 + adopted, host.core.routes().size());
        LONGS_EQUAL(2 * adopted, host.core.admissions().services().size());
        LONGS_EQUAL(5 * adopted, host.core.routes().limits_of("feed").max_flows);
    }
    CHECK(failing > 10);
    host.run_until(1s);
}
