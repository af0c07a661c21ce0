#include "edged_process.hpp"

#include <edge_soak/store_stub.hpp>

#include <CppUTest/TestHarness.h>

#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace galenabay;
using namespace galenabay::edged_test;

/// A settings file that is replaced while a process starts or runs.
TEST_GROUP(edged_settings)
{
    host_settings settings;
    edge_soak::store_stub store{settings.store};

    void setup() override
    {
        store.put("config", "main", configuration());
        store.put("servers", "i-1", registration());
    }
    /// Checks that a process that finds `content` at its start is ready soon after the settings are complete.
    void check_awaits(const std::function<void(const edged_process&)>& spoil, std::chrono::milliseconds completed_after)
    {
        edged_process host{settings};
        spoil(host);
        host.start();
        CHECK(holds_within(start_bound, [&] { return host.count("settings_awaited") == 1 || !host.is_running(); }));
        CHECK_FALSE(host.wait(completed_after).has_value());
        host.write_settings(settings.text());
        CHECK(holds_within(start_bound, [&] { return host.is_ready(); }));
        LONGS_EQUAL(1, host.count("settings_awaited"));
    }
    std::string half() const
    {
        return settings.text().substr(0, settings.text().size() / 2);
    }
    /// Checks that `replace` gives a running process settings with another store.
    void check_reloads(const std::function<void(const edged_process&, const std::string&)>& replace)
    {
        edged_process host{settings};
        host.start();
        CHECK(holds_within(start_bound, [&] { return host.is_ready(); }));
        auto moved = settings;
        moved.store = host_settings::next_address();
        replace(host, moved.text());
        CHECK(holds_within(start_bound, [&] { return host.count("settings_reloaded") > 0; }));
        CHECK(host.is_ready());
    }
};

// Failure: a process that was started while its settings were being written ended with 2.
TEST(edged_settings, incomplete_ones_are_awaited_at_the_start)
{
    check_awaits([](const auto& host) { unlink(host.settings_path().c_str()); }, 50ms);
    check_awaits([](const auto& host) { host.write_settings(""); }, 500ms);
    check_awaits([this](const auto& host) { host.write_settings(half()); }, 2s);
}

// Failure: a process that was started between two writes of its settings ran without the ones of the second, which are
// optional: without evacuations until its next start.
TEST(edged_settings, ones_that_are_being_written_are_awaited_although_their_first_part_can_be_used)
{
    auto text = settings.text();
    const auto bounds = text.find("bounds:");
    const auto size = text.find("platform:") - bounds;
    text += text.substr(bounds, size);
    text.erase(bounds, size);
    edged_process host{settings};
    host.write_settings(text);
    host.start();
    std::this_thread::sleep_for(40ms);
    host.write_settings(text + "  evacuate-ms: 5000\n");
    CHECK(holds_within(start_bound, [&] { return host.is_ready(); }));
    CHECK(store.calls_of("evacuations") > 0);
}

TEST(edged_settings, that_stay_unusable_end_the_process_with_2_after_a_bounded_wait)
{
    constexpr auto wait_bound = 8s;
    edged_process host{settings};
    host.write_settings(half());
    host.start();
    const auto ended = host.wait(wait_bound);
    CHECK(ended.has_value());
    LONGS_EQUAL(2, ended->code);
    STRCMP_CONTAINS((host.settings_path() + ": ").c_str(), host.log().c_str());
}

// Failure: the process ended by the signal, or with 2, when it was stopped while its settings were incomplete.
TEST(edged_settings, a_stop_while_they_are_awaited_is_a_planned_stop)
{
    for (const int number : {SIGTERM, SIGINT})
    {
        edged_process host{settings};
        host.write_settings("");
        host.start();
        CHECK(holds_within(start_bound, [&] { return host.count("settings_awaited") == 1; }));
        host.signal(SIGHUP);
        host.signal(number);
        const auto ended = host.wait(1s);
        CHECK(ended.has_value());
        LONGS_EQUAL(0, ended->code);
    }
}

// Failure: after a signal in the middle of a write, complete settings that looked like the half before were not read.
TEST(edged_settings, complete_ones_are_read_after_refused_ones_of_the_same_size_and_time)
{
    check_reloads(
        [](const edged_process& host, const std::string& text)
        {
            const auto stamp = std::filesystem::last_write_time(host.settings_path());
            auto broken = text;
            broken.replace(0, 4, "nodf");
            host.write_settings(broken);
            std::filesystem::last_write_time(host.settings_path(), stamp);
            host.signal(SIGHUP);
            CHECK(holds_within(start_bound, [&] { return host.count("settings_refused") > 0; }));
            host.write_settings(text);
            std::filesystem::last_write_time(host.settings_path(), stamp);
        });
}

// Failure: settings that another file of the same size and time replaced were not read without a signal.
TEST(edged_settings, a_file_renamed_over_the_old_one_is_read)
{
    check_reloads(
        [](const edged_process& host, const std::string& text)
        {
            const auto stamp = std::filesystem::last_write_time(host.settings_path());
            const auto file = host.settings_path() + ".new";
            std::ofstream{file} << text;
            std::filesystem::last_write_time(file, stamp);
            LONGS_EQUAL(0, std::rename(file.c_str(), host.settings_path().c_str()));
        });
}

TEST(edged_settings, many_reloads_and_a_missing_file_change_nothing)
{
    edged_process host{settings};
    host.start();
    CHECK(holds_within(start_bound, [&] { return host.is_ready(); }));
    constexpr int signals = 200;
    for (int i = 0; i < signals; ++i)
    {
        host.signal(SIGHUP);
        std::this_thread::sleep_for(1ms);
    }
    unlink(host.settings_path().c_str());
    host.signal(SIGHUP);
    CHECK(holds_within(start_bound, [&] { return host.count("settings_refused") > 0; }));
    CHECK(host.is_ready());
}

// Failure: settings that take effect at the next start only were changed without a line in the log.
TEST(edged_settings, a_change_that_needs_a_restart_is_logged)
{
    edged_process host{settings};
    host.start();
    CHECK(holds_within(start_bound, [&] { return host.is_ready(); }));
    const std::vector<std::pair<std::string, std::string>> changes{{"edge-1", "edge-2"},
                                                                   {"\"east\"", "\"west\""},
                                                                   {"port-range: [", "port-range: [7720, 7735]\n#"},
                                                                   {"config-ms: 3000", "config-ms: 2000"},
                                                                   {"flow-ttl-s: 60", "flow-ttl-s: 50"},
                                                                   {"platform:", "  evacuate-ms: 5000\nplatform:"}};
    for (std::size_t i = 0; i < changes.size(); ++i)
    {
        auto text = settings.text();
        host.write_settings(text.replace(text.find(changes[i].first), changes[i].first.size(), changes[i].second));
        host.signal(SIGHUP);
        CHECK(holds_within(start_bound, [&] { return host.count("settings_need_restart") == i + 1; }));
    }
}

TEST(edged_settings, signals_during_a_stop_do_not_change_it)
{
    edged_process host{settings};
    host.start();
    CHECK(holds_within(start_bound, [&] { return host.is_ready(); }));
    host.signal(SIGTERM);
    CHECK(holds_within(start_bound, [&] { return host.count("stop_begun") == 1; }));
    for (const int number : {SIGHUP, SIGTERM, SIGINT, SIGHUP})
    {
        host.signal(number);
    }
    const auto ended = host.wait(stop_bound);
    CHECK(ended.has_value());
    LONGS_EQUAL(0, ended->code);
    LONGS_EQUAL(1, host.count("stopped"));
}

TEST(edged_settings, a_stop_while_the_store_is_away_is_a_planned_stop)
{
    store.set_fault(edge_soak::store_fault::silent);
    edged_process host{settings};
    host.start();
    CHECK(holds_within(start_bound, [&] { return host.count("started") == 1; }));
    host.signal(SIGINT);
    const auto ended = host.wait(stop_bound);
    CHECK(ended.has_value());
    LONGS_EQUAL(0, ended->code);
}
