#include <galenabay/base/hash.hpp>
#include <galenabay/membership/member_view.hpp>
#include <galenabay/membership/rendezvous.hpp>

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace galenabay;
using namespace galenabay::membership;

namespace
{

base::time_point at_ms(std::int64_t milliseconds)
{
    return base::time_point{base::duration{1'000'000'000 + milliseconds * 1000}};
}

host_report make_report(const std::string& name, std::uint64_t incarnation, std::uint64_t sequence,
                        host_state state = host_state::ready)
{
    host_report report;
    report.name = name;
    report.data_centre = "worcester";
    report.incarnation = incarnation;
    report.sequence = sequence;
    report.state = state;
    return report;
}

listed_host make_row(const std::string& name, bool leaving = false)
{
    listed_host row;
    row.name = name;
    row.leaving = leaving;
    return row;
}

} // namespace

TEST_GROUP(member_view)
{
    member_view view{{"host-1", "worcester", base::duration{3'000'000}, base::duration{2'000'000}}};

    void setup() override
    {
        view.set_self(make_report("host-1", 1, 1));
    }

    bool decides(const std::string& name, std::int64_t milliseconds) const
    {
        for (const auto& host : view.deciding_hosts(at_ms(milliseconds)))
        {
            if (host.name == name)
            {
                return true;
            }
        }
        return false;
    }
};

TEST(member_view, ignores_reordered_and_repeated_reports)
{
    CHECK(view.on_report(make_report("host-2", 5, 2, host_state::leaving), at_ms(0)));
    CHECK_FALSE(view.on_report(make_report("host-2", 5, 1), at_ms(100)));
    CHECK_FALSE(view.on_report(make_report("host-2", 5, 2), at_ms(100)));
    CHECK_FALSE(decides("host-2", 100));
}

TEST(member_view, restarted_peer_replaces_its_earlier_process)
{
    view.on_report(make_report("host-2", 5, 900), at_ms(0));
    CHECK(view.on_report(make_report("host-2", 6, 1, host_state::starting), at_ms(100)));
    CHECK_FALSE(decides("host-2", 100));
    CHECK_FALSE(view.on_report(make_report("host-2", 5, 901), at_ms(200)));
    CHECK_FALSE(decides("host-2", 200));
    view.on_report(make_report("host-2", 6, 2), at_ms(300));
    CHECK(decides("host-2", 300));
}

TEST(member_view, late_report_of_an_unlisted_peer_does_not_make_it_live_again)
{
    view.on_report(make_report("host-2", 5, 7, host_state::leaving), at_ms(0));
    view.on_platform_list({}, at_ms(5'000));
    CHECK_FALSE(view.on_report(make_report("host-2", 5, 6), at_ms(5'100)));
    CHECK_FALSE(decides("host-2", 5'100));
}

TEST(member_view, peer_without_reports_stops_deciding)
{
    view.on_report(make_report("host-2", 5, 1), at_ms(0));
    CHECK(decides("host-2", 2'999));
    CHECK_FALSE(decides("host-2", 3'000));
}

TEST(member_view, outdated_platform_list_neither_adds_nor_removes_live_hosts)
{
    view.on_report(make_report("host-2", 5, 1), at_ms(0));
    const std::vector<listed_host> without{make_row("host-3")};
    view.on_platform_list(without, at_ms(100));
    CHECK(decides("host-2", 200));
    CHECK_FALSE(decides("host-3", 200));
    const std::vector<listed_host> again{make_row("host-2"), make_row("host-3")};
    view.on_platform_list(again, at_ms(60'000));
    CHECK_FALSE(decides("host-2", 60'000));
    LONGS_EQUAL(2, view.contacts(at_ms(60'000)).size());
}

TEST(member_view, paused_host_counts_no_peer_as_live_until_it_reports_again)
{
    view.on_tick(at_ms(0));
    view.on_report(make_report("host-2", 5, 1), at_ms(0));
    CHECK_FALSE(view.on_tick(at_ms(1'000)));
    CHECK(view.on_tick(at_ms(3'500)));
    CHECK_FALSE(decides("host-2", 3'500));
    CHECK_FALSE(view.on_report(make_report("host-2", 5, 1), at_ms(3'600)));
    CHECK_FALSE(decides("host-2", 3'600));
    CHECK(view.on_report(make_report("host-2", 5, 2), at_ms(3'700)));
    CHECK(decides("host-2", 3'700));
}

TEST(member_view, report_received_before_a_pause_was_detected_does_not_count)
{
    view.on_tick(at_ms(0));
    view.on_report(make_report("host-2", 5, 4), at_ms(59'000));
    CHECK(view.on_tick(at_ms(60'000)));
    CHECK_FALSE(decides("host-2", 60'000));
}

TEST(member_view, rendezvous_order_moves_only_keys_of_the_removed_host)
{
    std::vector<live_host> hosts;
    for (int i = 0; i < 9; ++i)
    {
        const auto name = "host-" + std::to_string(i);
        hosts.push_back({name, "", base::hash_text(name), {}});
    }
    auto fewer = hosts;
    fewer.erase(fewer.begin() + 4);
    for (std::uint64_t key = 1; key < 500; ++key)
    {
        const auto before = rank_hosts(hosts, key * 977, 2);
        const auto after = deciding_host(fewer, key * 977);
        const auto expected = before[0] == 4 ? before[1] : before[0];
        STRCMP_EQUAL(hosts[expected].name.c_str(), fewer[after].name.c_str());
    }
}
