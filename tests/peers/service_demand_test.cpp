#include "virtual_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
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
