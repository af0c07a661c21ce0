#include <galenabay/inspect/fleet_plots.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace galenabay::inspect;

TEST_GROUP(fleet_plots)
{
    static constexpr std::int64_t start_ms = 1'800'000'000'000;

    sample_recorder recorder;
    std::string file;

    /// Records a reading `second` seconds after the start.
    void read(std::int64_t second, const std::optional<std::string>& page)
    {
        file += recorder.record("10.1.0.1:9100", start_ms + second * 1'000, page);
    }
    const plot& find(const plot_page& page, const std::string& title) const
    {
        return *std::find_if(page.plots.begin(), page.plots.end(), [&](const plot& one) { return one.title == title; });
    }
};

TEST(fleet_plots, reads_lines_of_the_text_format_and_refuses_unreadable_ones)
{
    const metric_value expected{"m", {{"a", "x\"\\\n,}"}, {"b", ""}}, 1.5, 12};
    CHECK(parse_metric(to_string(expected)) == expected);
    CHECK(parse_metric("m 3") == (metric_value{"m", {}, 3, {}}));
    for (const char* line :
         {"", "# HELP m", "m", "m x", "m nan", "m{a=\"1\" 2", "m{a 2", "m{a=\"1\"b=\"2\"} 2", "m 1 2 3"})
    {
        CHECK_FALSE_TEXT(parse_metric(line).has_value(), line);
    }
}

// A file of a day would be several times as large if unchanged values were repeated.
TEST(fleet_plots, records_plotted_metrics_when_they_change)
{
    read(0, "# TYPE galenabay_flows gauge\ngalenabay_flows 2\ngalenabay_handling_seconds_sum 1\n");
    read(1, "galenabay_flows 2\n");
    read(2, std::nullopt);
    read(3, "galenabay_flows 2\n");
    STRCMP_EQUAL("up{host=\"10.1.0.1:9100\"} 1 1800000000000\n"
                 "galenabay_flows{host=\"10.1.0.1:9100\"} 2 1800000000000\n"
                 "up{host=\"10.1.0.1:9100\"} 1 1800000001000\n"
                 "up{host=\"10.1.0.1:9100\"} 0 1800000002000\n"
                 "up{host=\"10.1.0.1:9100\"} 1 1800000003000\n"
                 "galenabay_flows{host=\"10.1.0.1:9100\"} 2 1800000003000\n",
                 file.c_str());
}

// A restart sets counters to 0; taken as a decrease, it would hide what follows.
TEST(fleet_plots, shows_rates_across_a_restart_and_a_gap_while_the_host_does_not_answer)
{
    read(0, "galenabay_rejected_flows_total 100\ngalenabay_flows 1\n");
    read(1, "galenabay_rejected_flows_total 104\ngalenabay_flows 3\n");
    read(2, std::nullopt);
    read(3, "galenabay_rejected_flows_total 6\ngalenabay_flows 2\n");
    const auto page = make_plots(decode_samples({file + "galenabay_flows{host=\"10.1.0.1:9100\"} 9 18000000"}), {});
    LONGS_EQUAL(4, page.intervals);
    LONGS_EQUAL(1'000, page.interval_ms);
    const auto& rejected = find(page, "Rejected and refused flows").lines.at(0);
    CHECK(rejected == (plot_line{"rejected by upstreams", {4, 3, 3, std::nullopt}}));
    CHECK(find(page, "Flows").lines.at(0).values == (std::vector<std::optional<double>>{1, 3, std::nullopt, 2}));
}

// The metric of a reason appears with its first packet; without a value before, that one would not count.
TEST(fleet_plots, shows_resets_by_reason_and_no_reason_that_forwards)
{
    read(0, "galenabay_packets_total{reason=\"token\"} 5\n");
    read(1, "galenabay_packets_total{reason=\"token\"} 9\ngalenabay_packets_total{reason=\"no_room\"} 2\n"
            "galenabay_flow_resets_total{reason=\"upstream_silent\"} 3\n");
    const auto page = make_plots(decode_samples({file}), {});
    const auto& resets = find(page, "Resets and drops by reason").lines;
    LONGS_EQUAL(2, resets.size());
    CHECK(resets[0] == (plot_line{"no_room", {2, std::nullopt}}));
    CHECK(resets[1] == (plot_line{"upstream_silent", {3, std::nullopt}}));
}

TEST(fleet_plots, shows_load_by_upstream_and_the_number_of_lines_left_out)
{
    forwarded_flows flows;
    const std::string time = "time=2026-12-04T10:00:0";
    const std::string packet = " level=info event=packet host=edge-1 flow=f outcome=forward reason=";
    flows.add(time + "1.500" + packet + "new_flow upstream=8 address=10.1.64.6:80 token=7");
    flows.add(time + "2.600" + packet + "next_upstream upstream=8 address=10.1.64.6:80 token=7");
    flows.add(time + "1.500" + packet + "new_flow upstream=9 address=10.1.64.7:80 token=6");
    flows.add(time + "2.000 event=upstream id=i-1 change=added token=7");
    flows.add(time + "2.000 event=lines_left_out kind=new_flow count=12");
    flows.add(time + "2.000 event=packet outcome=reset reason=no_room token=6");
    const auto page = make_plots({}, flows);
    const auto& load = find(page, "Load by upstream");
    LONGS_EQUAL(2, load.lines.size());
    CHECK(load.lines[0] == (plot_line{"10.1.64.7:80", {1, 0}}));
    CHECK(load.lines[1] == (plot_line{"i-1", {1, 1}}));
    STRCMP_CONTAINS("left out of the logs: 12.", load.note.c_str());
}

TEST(fleet_plots, keep_to_twelve_lines_and_a_small_page_without_references)
{
    for (int host = 0; host < 40; ++host)
    {
        sample_recorder one;
        for (std::int64_t second = 0; second < 1'000; ++second)
        {
            const auto number = static_cast<double>(host * 1'000 + second % 7);
            std::string metrics;
            for (const char* name : {"galenabay_flows", "galenabay_avoided_upstreams", "galenabay_usable_upstreams"})
            {
                metrics.append(to_string(metric_value{name, {}, number, {}})).append("\n");
            }
            file += one.record("<host" + std::to_string(host) + ">", start_ms + second * 1'000, metrics);
        }
    }
    const auto page = make_plots(decode_samples({file}), {});
    const auto& flows = find(page, "Flows");
    LONGS_EQUAL(12, flows.lines.size());
    STRCMP_EQUAL("<host39>", flows.lines[0].label.c_str());
    STRCMP_CONTAINS("28 lines with lower values are not shown", flows.note.c_str());
    const auto html = to_html(page);
    CHECK(html.size() < 150'000);
    CHECK(html.find("&lt;host39&gt;") != std::string::npos);
    for (const char* forbidden : {"<host", "<script", "http", "url("})
    {
        CHECK_TEXT(html.find(forbidden) == std::string::npos, forbidden);
    }
}
