#include <galenabay/inspect/fleet_plots.hpp>

#include "plotted_metrics.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <set>
#include <utility>

namespace galenabay::inspect
{

namespace
{

/// A day in intervals of ten minutes; twelve lines of that many points stay below 20 KB.
constexpr std::int64_t max_intervals = 144;
constexpr std::size_t max_lines = 12;
constexpr std::int64_t ms_per_second = 1'000;

enum class quantity
{
    /// Increase of a counter per second.
    rate,
    highest,
    lowest,
};

/// How the lines of a plot are labelled.
enum class grouping
{
    host,
    reason,
    metric,
};

/// A metric in a plot.
struct plotted_metric
{
    std::string_view name;
    /// Label of its line where the plot has a line for each metric.
    std::string_view label;
};

struct plot_kind
{
    const char* title;
    const char* unit;
    const char* note;
    quantity shown;
    grouping lines;
    /// Those without a name are unused.
    std::array<plotted_metric, 3> metrics;
};

constexpr std::array<plot_kind, 9> kinds{{
    {"Rejected and refused flows",
     "flows per second",
     "All hosts. Rejected: closed soon after a short answer of the upstream. Refused: reset by a host for lack of "
     "room; with free slots: while the latest sums had fewer open requests than slots.",
     quantity::rate,
     grouping::metric,
     {{{"galenabay_rejected_flows_total", "rejected by upstreams"},
       {"galenabay_refused_flows_total", "refused for lack of room"},
       {"galenabay_refused_with_free_slots_total", "refused with free slots"}}}},
    {"Late requests",
     "packets per second",
     "All hosts. A SYN without an answer for about 200 ms is sent to a next upstream, or stays on its upstream "
     "while the service is short of room. Trial flows go to a silent data centre.",
     quantity::rate,
     grouping::metric,
     {{{"galenabay_packets_total", "next upstream"},
       {"galenabay_limited_retries_total", "stayed on its upstream"},
       {"galenabay_trial_flows_total", "trial flows"}}}},
    {"Resets and drops by reason",
     "packets per second",
     "All hosts. Packets that were reset or dropped, and flows that were reset without a packet of theirs.",
     quantity::rate,
     grouping::reason,
     {{{"galenabay_packets_total", ""}, {"galenabay_flow_resets_total", ""}}}},
    {"Control bytes sent",
     "bytes per second",
     "To other hosts.",
     quantity::rate,
     grouping::host,
     {{{"galenabay_peer_bytes_sent_total", ""}}}},
    {"Control bytes received",
     "bytes per second",
     "From other hosts.",
     quantity::rate,
     grouping::host,
     {{{"galenabay_peer_bytes_received_total", ""}}}},
    {"Usable upstreams",
     "upstreams, fewest in the interval",
     "Upstreams of all services that get new flows of the host.",
     quantity::lowest,
     grouping::host,
     {{{"galenabay_usable_upstreams", ""}}}},
    {"Avoided upstreams",
     "upstreams, most in the interval",
     "Upstreams that are ready and get no new flow of the host because of failures, silence or a missing "
     "registration.",
     quantity::highest,
     grouping::host,
     {{{"galenabay_avoided_upstreams", ""}}}},
    {"Flows",
     "flows, most in the interval",
     "Flows in the table of the host.",
     quantity::highest,
     grouping::host,
     {{{"galenabay_flows", ""}}}},
    {"Hosts that are ready",
     "1: ready, least in the interval",
     "No line where the host did not answer.",
     quantity::lowest,
     grouping::host,
     {{{"galenabay_ready", ""}}}},
}};

/// Returns the label of the line to which a series belongs; nothing when the plot does not show it.
std::optional<std::string> line_of(const plot_kind& kind, const metric_series& series)
{
    const auto found = std::find_if(kind.metrics.begin(), kind.metrics.end(),
                                    [&](const plotted_metric& one) { return series.name == one.name; });
    if (found == kind.metrics.end())
    {
        return std::nullopt;
    }
    if (kind.lines == grouping::host)
    {
        return series.host;
    }
    const auto labelled = series.labels.find("reason");
    const auto reason = labelled == series.labels.end() ? std::string{} : labelled->second;
    if (kind.lines == grouping::reason)
    {
        return reason == "token" || reason == "new_flow" || reason == "next_upstream" ? std::nullopt
                                                                                      : std::optional{reason};
    }
    const auto urgency = series.labels.find("urgency");
    return reason.empty() || reason == "next_upstream"
               ? std::optional{std::string{found->label} +
                               (urgency == series.labels.end() ? "" : ", urgency " + urgency->second)}
               : std::nullopt;
}

/// Adds what a series contributes to the intervals of a line.
class line_builder
{
public:
    line_builder(const plot_page& page, quantity shown) : page_{page}, shown_{shown}, values_(page.intervals) {}

    void add(const metric_series& series)
    {
        for (std::size_t i = 0; i < series.points.size(); ++i)
        {
            if (shown_ != quantity::rate)
            {
                combine(interval_of(series.points[i].time_ms), series.points[i].value);
            }
            else if (i > 0)
            {
                spread(series.points[i - 1], series.points[i]);
            }
        }
    }

    void add(std::int64_t time_ms, double amount)
    {
        if (time_ms >= page_.begin_ms && interval_of(time_ms) < values_.size())
        {
            combine(interval_of(time_ms), amount * ms_per_second / static_cast<double>(page_.interval_ms));
        }
    }

    std::vector<std::optional<double>> values() const { return values_; }

private:
    std::size_t interval_of(std::int64_t time_ms) const
    {
        return static_cast<std::size_t>((time_ms - page_.begin_ms) / page_.interval_ms);
    }

    void combine(std::size_t interval, double value)
    {
        auto& known = values_.at(interval);
        if (!known)
        {
            known = value;
            return;
        }
        switch (shown_)
        {
        case quantity::rate:
            known = *known + value;
            break;
        case quantity::highest:
            known = std::max(*known, value);
            break;
        case quantity::lowest:
            known = std::min(*known, value);
            break;
        }
    }

    /// Spreads the increase of a counter over the intervals between two readings, so that readings that are not in
    /// step with the intervals do not show as peaks.
    void spread(const sample_point& from, const sample_point& to)
    {
        // A lower value is that of a process that started in between.
        const double increase = to.value < from.value ? to.value : to.value - from.value;
        const auto time = static_cast<double>(to.time_ms - from.time_ms);
        for (auto at = from.time_ms; at < to.time_ms;)
        {
            const auto interval = interval_of(at);
            const auto next =
                std::min(to.time_ms, page_.begin_ms + static_cast<std::int64_t>(interval + 1) * page_.interval_ms);
            add(at, increase * static_cast<double>(next - at) / time);
            at = next;
        }
    }

    const plot_page& page_;
    quantity shown_;
    std::vector<std::optional<double>> values_;
};

double size_of(const plot_line& line)
{
    double sum = 0;
    for (const auto& value : line.values)
    {
        sum += value.value_or(0);
    }
    return sum;
}

/// Keeps the lines with the greatest sums and notes how many are left out.
void limit_lines(plot& shown)
{
    if (shown.lines.size() <= max_lines)
    {
        return;
    }
    std::stable_sort(shown.lines.begin(), shown.lines.end(),
                     [](const auto& left, const auto& right) { return size_of(left) > size_of(right); });
    shown.note += " " + std::to_string(shown.lines.size() - max_lines) + " lines with lower values are not shown.";
    shown.lines.resize(max_lines);
}

plot make_plot(const plot_page& page, const plot_kind& kind, const std::vector<metric_series>& samples)
{
    std::map<std::string, line_builder> builders;
    for (const auto& series : samples)
    {
        if (const auto label = line_of(kind, series); label)
        {
            builders.try_emplace(*label, page, kind.shown).first->second.add(series);
        }
    }
    plot made{kind.title, kind.unit, kind.note, {}};
    for (const auto& [label, builder] : builders)
    {
        made.lines.push_back({label, builder.values()});
    }
    // Counters of reasons that did not occur would hide the others.
    if (kind.lines == grouping::reason)
    {
        std::erase_if(made.lines, [](const plot_line& line) { return size_of(line) == 0; });
    }
    limit_lines(made);
    return made;
}

plot make_load_plot(const plot_page& page, const forwarded_flows& flows)
{
    plot made{"Load by upstream",
              "flows per second",
              "Flows whose SYN was forwarded, as the logs of the hosts name them, also those that came from another "
              "upstream. Lines left out of the logs: " +
                  std::to_string(flows.left_out()) + ".",
              {}};
    for (const auto& [upstream, times] : flows.by_upstream())
    {
        line_builder builder{page, quantity::rate};
        for (std::size_t i = 0; i < page.intervals; ++i)
        {
            builder.add(page.begin_ms + static_cast<std::int64_t>(i) * page.interval_ms, 0);
        }
        for (const auto time : times)
        {
            builder.add(time, 1);
        }
        made.lines.push_back({upstream, builder.values()});
    }
    limit_lines(made);
    return made;
}

/// Returns the median time between the readings of hosts.
std::int64_t reading_interval(const std::vector<metric_series>& samples)
{
    std::vector<std::int64_t> steps;
    for (const auto& series : samples)
    {
        for (std::size_t i = 1; i < series.points.size() && series.name == "up"; ++i)
        {
            steps.push_back(series.points[i].time_ms - series.points[i - 1].time_ms);
        }
    }
    if (steps.empty())
    {
        return 0;
    }
    const auto middle = steps.begin() + static_cast<std::ptrdiff_t>(steps.size() / 2);
    std::nth_element(steps.begin(), middle, steps.end());
    return *middle;
}

} // namespace

bool is_plotted(std::string_view name)
{
    return std::any_of(kinds.begin(), kinds.end(),
                       [&](const plot_kind& kind)
                       {
                           return std::any_of(kind.metrics.begin(), kind.metrics.end(),
                                              [&](const plotted_metric& one) { return name == one.name; });
                       });
}

plot_page make_plots(const std::vector<metric_series>& samples, const forwarded_flows& flows)
{
    auto first = std::numeric_limits<std::int64_t>::max();
    auto last = std::numeric_limits<std::int64_t>::min();
    const auto include = [&](std::int64_t time)
    {
        first = std::min(first, time);
        last = std::max(last, time);
    };
    std::set<std::string> hosts;
    for (const auto& series : samples)
    {
        include(series.points.front().time_ms);
        include(series.points.back().time_ms);
        hosts.insert(series.host);
    }
    for (const auto& [upstream, times] : flows.by_upstream())
    {
        if (samples.empty())
        {
            std::for_each(times.begin(), times.end(), include);
        }
    }
    if (last < first)
    {
        return {};
    }
    plot_page page{.begin_ms = first, .hosts = hosts.size(), .plots = {}};
    // Whole seconds; at least the time between readings, so that each interval has one.
    const auto shortest = std::max((last - first) / max_intervals + 1, reading_interval(samples));
    page.interval_ms = (shortest + ms_per_second - 1) / ms_per_second * ms_per_second;
    page.intervals = static_cast<std::size_t>((last - first) / page.interval_ms) + 1;
    for (const auto& kind : kinds)
    {
        page.plots.push_back(make_plot(page, kind, samples));
    }
    page.plots.insert(page.plots.begin() + 3, make_load_plot(page, flows));
    return page;
}

} // namespace galenabay::inspect
