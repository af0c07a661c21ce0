#include "edged_process.hpp"

#include <edge_soak/store_stub.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <random>

using namespace galenabay;
using namespace galenabay::edged_test;

/// Nine processes in three data centres that start at about the same time.
TEST_GROUP(edged_fleet_start)
{
    static constexpr std::size_t fleet_size = 9;
    static constexpr std::size_t data_centres = 3;

    base::endpoint store_address = host_settings::next_address();
    edge_soak::store_stub store{store_address};
    std::vector<std::unique_ptr<edged_process>> fleet;

    void setup() override
    {
        store.put("config", "main", configuration());
        store.put("servers", "i-1", registration());
        for (std::size_t i = 0; i < fleet_size; ++i)
        {
            host_settings settings;
            settings.name = "edge-" + std::to_string(i);
            settings.data_centre = "dc-" + std::to_string(i % data_centres);
            settings.store = store_address;
            fleet.push_back(std::make_unique<edged_process>(settings));
        }
    }
    /// Returns how many processes are ready within `start_bound`.
    std::size_t count_ready()
    {
        std::vector<edged_process*> waiting;
        for (const auto& host : fleet)
        {
            waiting.push_back(host.get());
        }
        holds_within(start_bound,
                     [&]
                     {
                         std::erase_if(waiting, [](const auto* host) { return host->is_ready(); });
                         return waiting.empty();
                     });
        return fleet_size - waiting.size();
    }
};

TEST(edged_fleet_start, all_are_ready_in_time_after_each_kill)
{
    constexpr int rounds = 5;
    // Nine pauses take 0.3 s at most.
    constexpr unsigned longest_pause_ms = 33;
    // A fixed seed: the same orders in each run.
    std::mt19937 random{36};
    for (int round = 0; round < rounds; ++round)
    {
        std::shuffle(fleet.begin(), fleet.end(), random);
        for (const auto& host : fleet)
        {
            host->start();
            std::this_thread::sleep_for(std::chrono::milliseconds{random() % longest_pause_ms});
        }
        LONGS_EQUAL(fleet_size, count_ready());
        for (const auto& host : fleet)
        {
            CHECK(host->is_running());
            host->kill();
        }
    }
}
