#include "virtual_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <cmath>

using namespace galenabay;
using namespace galenabay::peers;
using namespace galenabay::peers::test;

namespace
{

constexpr std::uint64_t service = 0x1234'5678'9abc'def0;

service_demand make_demand(std::uint32_t open_requests, std::uint64_t of = service)
{
    return {.service = of, .open_requests = open_requests, .admitted = 160, .rejected = 16, .offered = {32, 480}};
}

/// Three data centres of 12 hosts, each with 5 open requests.
struct loaded_fleet : virtual_fleet
{
    explicit loaded_fleet(std::size_t hosts_each = 12) : virtual_fleet{3, hosts_each}
    {
        for (auto& one : hosts())
        {
            one.own.demands = {make_demand(5)};
        }
        run(8s);
    }

    /// Largest relative error of the open requests that running hosts with sums know of. `actual`: in
    /// the fleet. Counts the hosts without sums of the last 1.5 s in `without`.
    double error(double actual, std::size_t* without = nullptr)
    {
        double largest = 0;
        for (const auto& one : hosts())
        {
            const auto known = one.running ? one.exchange->demands(now()) : std::nullopt;
            if (!known || known->received_ago >= 1'500ms)
            {
                *(without == nullptr ? &ignored : without) += one.running ? 1 : 0;
                continue;
            }
            const auto total = known->total();
            const auto* row = total.find(service);
            largest = std::max(largest, std::abs((row == nullptr ? 0 : row->open_requests) - actual) / actual);
        }
        return largest;
    }

    std::size_t ignored = 0;
};

} // namespace

TEST_GROUP(service_demand){};

TEST(service_demand, all_hosts_know_the_sums_of_their_own_and_the_other_data_centres)
{
    loaded_fleet fleet;
    for (const auto& one : fleet.hosts())
    {
        const auto known = one.exchange->demands(fleet.now()).value();
        LONGS_EQUAL(36, known.hosts);
        LONGS_EQUAL(60, known.local.find(service)->open_requests);
        LONGS_EQUAL(120, known.remote.find(service)->open_requests);
        const auto total = known.total();
        LONGS_EQUAL(36 * 160, total.find(service)->admitted);
        LONGS_EQUAL(36 * 480, total.find(service)->offered[1]);
        CHECK(known.received_ago <= 1s);
        CHECK(known.local.age <= 1'500ms);
        CHECK(known.remote.age <= 2'500ms);
    }
}

// The error of the sums is what changed within their age: a change is known everywhere within 2 s.
TEST(service_demand, a_change_is_in_all_sums_within_two_seconds)
{
    loaded_fleet fleet;
    for (auto& one : fleet.hosts())
    {
        one.own.demands = {make_demand(20)};
    }
    fleet.run(1s);
    // Own data centre: a status, a digest and their way.
    for (const auto& one : fleet.hosts())
    {
        CHECK(one.exchange->demands(fleet.now())->local.find(service)->open_requests >= 120);
    }
    fleet.run(1s);
    DOUBLES_EQUAL(0, fleet.error(36 * 20), 0.001);
}

// A lost datagram must not lose a sum, nor a repeated one count twice.
TEST(service_demand, sums_stay_right_while_a_fifth_of_the_datagrams_is_lost)
{
    loaded_fleet fleet;
    base::random_source random{3};
    fleet.is_lost = [&](const auto&, const auto&) { return random.below(5) == 0; };
    double largest = 0;
    std::size_t without = 0;
    for (int i = 0; i < 40; ++i)
    {
        fleet.run(250ms);
        largest = std::max(largest, fleet.error(180, &without));
    }
    CHECK(largest <= 0.5);
    CHECK(without <= 40 * 36 / 50);
}

TEST(service_demand, repeated_statuses_are_counted_once)
{
    loaded_fleet fleet;
    auto& collector = *fleet.collectors("centre-0").front();
    auto status = collector.own;
    status.name = "edge-0-x";
    status.data_centre = "centre-0";
    status.started_us = 1;
    status.sequence = 5;
    status.with_loads = true;
    status.demands = {make_demand(7)};
    const auto from = base::endpoint::make_v4(0x0a00ff01, 7720);
    for (int i = 0; i < 3; ++i)
    {
        collector.exchange->on_message(message{status}, from, fleet.now());
    }
    LONGS_EQUAL(60 + 7, collector.exchange->demands(fleet.now())->local.find(service)->open_requests);
}

// The sums may lack hosts while others take over, and are right again within 4 s.
TEST(service_demand, sums_survive_the_loss_of_the_collectors_of_a_data_centre)
{
    for (const std::size_t lost : {1U, 2U})
    {
        loaded_fleet fleet;
        const auto collectors = fleet.collectors("centre-0");
        for (std::size_t i = 0; i < lost; ++i)
        {
            collectors[i]->running = false;
        }
        const double left = 5.0 * static_cast<double>(36 - lost);
        for (int i = 0; i < 16; ++i)
        {
            fleet.run(250ms);
            CHECK(fleet.error(left) <= 0.5);
        }
        std::size_t without = 0;
        DOUBLES_EQUAL(0, fleet.error(left, &without), 0.001);
        LONGS_EQUAL(0, without);
    }
}

// A host that is cut off must not decide by old sums, and a data centre that is cut off decides by its own.
TEST(service_demand, hosts_that_are_cut_off_have_no_sums_and_data_centres_their_own)
{
    loaded_fleet fleet;
    auto& alone = *std::find_if(fleet.hosts().begin(), fleet.hosts().end(),
                                [](const auto& one) { return !one.exchange->collects(); });
    const auto name = alone.name;
    fleet.is_lost = [&](const auto& from, const auto& to)
    {
        return from.name == name || to.name == name ||
               (from.data_centre != to.data_centre && (from.data_centre == "centre-2" || to.data_centre == "centre-2"));
    };
    fleet.run(1'700ms);
    const auto known = alone.exchange->demands(fleet.now());
    CHECK(!known || known->received_ago >= 1'500ms);
    fleet.run(4s);
    for (const auto& one : fleet.hosts())
    {
        const auto sums = one.exchange->demands(fleet.now());
        if (one.data_centre == "centre-2")
        {
            CHECK(sums->remote.services.empty());
            LONGS_EQUAL(60, sums->local.find(service)->open_requests);
        }
        else if (one.name != name)
        {
            const auto total = sums->total();
            LONGS_EQUAL(23 * 5, total.find(service)->open_requests);
        }
    }
}

TEST(service_demand, sums_fit_into_datagrams_and_into_the_control_traffic_of_a_host)
{
    virtual_fleet fleet{3, 40};
    fleet.counts_bytes = true;
    for (auto& one : fleet.hosts())
    {
        for (std::uint32_t i = 0; i < 300; ++i)
        {
            one.own.loads.push_back({.token = 1000 * i + 7, .flows = 3, .open_requests = 1, .answered_ago = 90ms});
        }
        for (std::uint64_t i = 0; i < 20; ++i)
        {
            one.own.demands.push_back(make_demand(5, service + i * 0x0101'0101'0101));
        }
    }
    fleet.run(6s);
    for (auto& one : fleet.hosts())
    {
        one.bytes_sent = 0;
        one.bytes_received = 0;
    }
    fleet.run(10s);
    CHECK(fleet.largest_datagram <= 1'400);
    for (const auto& one : fleet.hosts())
    {
        if (!one.exchange->collects())
        {
            CHECK(static_cast<double>(one.bytes_sent + one.bytes_received) / 10 < 22'000);
        }
    }
}

namespace
{

/// Hosts of a service whose upstreams begin to reject half of the flows of one host in `rejecting`. Each sees the
/// first rejection at any time within half a second.
struct rejecting_fleet : virtual_fleet
{
    rejecting_fleet(std::size_t data_centres, std::size_t hosts_each, bool is_early, std::size_t rejecting = 1)
        : virtual_fleet{data_centres, hosts_each}, early{is_early}
    {
        base::random_source random{7};
        for (auto& one : hosts())
        {
            one.own.demands = {make_demand(5)};
            one.own.demands.front().rejected = 0;
        }
        run(6s);
        step = 20ms;
        for (std::size_t i = 0; i < hosts().size(); ++i)
        {
            reject_at.push_back(now() + (i % rejecting == 0 ? 20ms * random.below(25) : 1h));
        }
    }

    void run_rejecting(base::duration time)
    {
        for (const auto end = now() + time; now() < end; run(step))
        {
            reported = {};
            for (std::size_t i = 0; i < hosts().size(); ++i)
            {
                auto& one = hosts()[i];
                if (now() >= reject_at[i])
                {
                    one.own.demands.front().rejected = 320;
                    one.own.demands.front().admitted = 640;
                    if (early && one.exchange->takes_early_status(now()))
                    {
                        send(one, one.exchange->on_shortage(one.own, now()));
                    }
                }
                reported.add(one.own.demands.front());
            }
        }
    }

    /// Number of hosts whose sums show no shortage, or fewer rejected flows than `least`.
    std::ptrdiff_t unaware(std::uint32_t least = 0)
    {
        return std::count_if(hosts().begin(), hosts().end(),
                             [&](const host& one)
                             {
                                 const auto total = one.exchange->demands(now()).value().total();
                                 return !steer::shows_shortage(*total.find(service)) ||
                                        total.find(service)->rejected < least;
                             });
    }

    /// Largest number of bytes a second that a host without and with the role of a collector sends and receives.
    std::array<double, 2> largest_rates(base::duration time)
    {
        counts_bytes = true;
        for (auto& one : hosts())
        {
            one.bytes_sent = one.bytes_received = 0;
        }
        run_rejecting(time);
        std::array<double, 2> rates{};
        for (const auto& one : hosts())
        {
            const auto bytes = static_cast<double>(one.bytes_sent + one.bytes_received);
            auto& largest = rates[one.exchange->collects() ? 1 : 0];
            largest = std::max(largest, bytes / std::chrono::duration<double>(time).count());
        }
        return rates;
    }

    bool early;
    std::vector<base::time_point> reject_at;
    /// Sum of what the hosts see themselves.
    steer::demand_sum reported;
};

} // namespace

// Regular sums show a burst after about a second, in which urgent flows are rejected like others. The model of queues
// (tests/steer/late_sums.hpp) assumes the delays that are checked here.
TEST(service_demand, a_shortage_is_in_all_sums_within_180_ms)
{
    for (const auto& [centres, hosts_each] : {std::pair<std::size_t, std::size_t>{2, 50}, {8, 50}, {2, 200}})
    {
        rejecting_fleet fleet{centres, hosts_each, true};
        CHECK(hosts_each > 50 || fleet.hosts().back().exchange->demands(fleet.now())->local.age <= 1s);
        do
        {
            fleet.run_rejecting(fleet.step);
        } while (!steer::shows_shortage(fleet.reported.services.front()));
        const auto rejected = fleet.reported.services.front().rejected;
        fleet.run_rejecting(180ms);
        LONGS_EQUAL(0, fleet.unaware(rejected));
    }
}

// An early message takes the place of a later one, so that neither a shortage nor rejections of a few hosts cost more.
TEST(service_demand, early_messages_stay_within_the_control_traffic_of_a_shortage)
{
    for (const std::size_t rejecting : {1U, 8U})
    {
        const auto regular = rejecting_fleet{5, 30, false, rejecting}.largest_rates(6s);
        rejecting_fleet fleet{5, 30, true, rejecting};
        const auto early = fleet.largest_rates(6s);
        UT_PRINT(StringFromFormat("bytes/s without and with early messages: host %.0f, %.0f; collector %.0f, %.0f",
                                  regular[0], early[0], regular[1], early[1])
                     .asCharString());
        CHECK(early[0] <= regular[0] + (rejecting == 1 ? 2'000 : 20));
        CHECK(early[1] <= regular[1] + (rejecting == 1 ? 4'000 : 200));
        const auto sent = std::count_if(fleet.hosts().begin(), fleet.hosts().end(),
                                        [](const auto& one) { return one.exchange->early_page_count() > 0; });
        LONGS_EQUAL(rejecting == 1 ? 10 : 0, sent);
    }
}

// A lost early message must not lose the shortage: regular messages follow.
TEST(service_demand, a_shortage_is_known_within_a_second_while_a_fifth_of_the_datagrams_is_lost)
{
    rejecting_fleet fleet{3, 12, true};
    base::random_source random{3};
    fleet.is_lost = [&](const auto&, const auto&) { return random.below(5) == 0; };
    fleet.run_rejecting(1s);
    LONGS_EQUAL(0, fleet.unaware());
}
