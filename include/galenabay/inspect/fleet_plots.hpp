#pragma once

#include <galenabay/inspect/metric_samples.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenabay::inspect
{

/// Flows that hosts forwarded to upstreams, from the `packet` lines of their logs.
class forwarded_flows
{
public:
    /// Reads a line of a log; its time is taken as local time.
    void add(std::string_view line);

    /// Times in milliseconds since 1970, by upstream: its id where the log names it, else its address.
    std::map<std::string, std::vector<std::int64_t>> by_upstream() const;
    /// Number of lines that hosts left out since they were too many.
    std::uint64_t left_out() const noexcept { return left_out_; }

private:
    struct upstream
    {
        std::string address;
        std::vector<std::int64_t> times;
    };

    std::map<std::string, upstream> by_token_;
    std::map<std::string, std::string> ids_by_token_;
    std::uint64_t left_out_ = 0;
};

/// One line of a plot: a value for each interval, none where nothing is known. Plain value.
struct plot_line
{
    std::string label;
    std::vector<std::optional<double>> values;

    friend auto operator<=>(const plot_line&, const plot_line&) = default;
};

/// One quantity over time. Plain value.
struct plot
{
    std::string title;
    std::string unit;
    /// What the quantity includes.
    std::string note;
    std::vector<plot_line> lines;

    friend auto operator<=>(const plot&, const plot&) = default;
};

/// Plots over the same time. Plain value.
struct plot_page
{
    /// Milliseconds since 1970.
    std::int64_t begin_ms = 0;
    /// Width of the intervals.
    std::int64_t interval_ms = 0;
    std::size_t intervals = 0;
    std::size_t hosts = 0;
    std::vector<plot> plots;

    friend auto operator<=>(const plot_page&, const plot_page&) = default;
};

/// Makes the plots. Their time is that of the samples, or that of the logs if there are no samples.
plot_page make_plots(const std::vector<metric_series>& samples, const forwarded_flows& flows);

/// Returns a page of HTML with the plots as SVG, without scripts and links.
std::string to_html(const plot_page& page);

} // namespace galenabay::inspect
