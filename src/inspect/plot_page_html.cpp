#include <galenabay/inspect/fleet_plots.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <ctime>

namespace galenabay::inspect
{

namespace
{

/// Sizes in pixels of the coordinate system of a plot.
constexpr double width = 760;
constexpr double height = 220;
constexpr double left = 62;
constexpr double right = 12;
constexpr double top = 10;
constexpr double bottom = 36;
constexpr double plot_width = width - left - right;
constexpr double plot_height = height - top - bottom;
constexpr double label_gap = 6;
/// Half of the height of the digits, by which labels are lowered to the middle of their line.
constexpr double half_digit = 4;
constexpr std::size_t colours = 6;

/// Colours have a contrast of 3:1 or more to the background; the second six lines are dashed.
constexpr const char* style = R"(<style>
:root{color-scheme:light dark;--back:#fff;--text:#1a1a1a;--grid:#ddd;--c0:#0b62b8;--c1:#b5460f;--c2:#1a7f37;--c3:#8639b5;--c4:#a0660a;--c5:#b3266b}
@media(prefers-color-scheme:dark){:root{--back:#15181c;--text:#e6e6e6;--grid:#3a3f45;--c0:#6cb2ff;--c1:#ff9a62;--c2:#5fd07f;--c3:#cf9bff;--c4:#e8bd4f;--c5:#ff8ac0}}
body{background:var(--back);color:var(--text);font:15px/1.4 sans-serif;max-width:800px;margin:1.5em auto;padding:0 1em}
svg{width:100%;height:auto}
svg text{fill:var(--text);font:11px sans-serif}
.grid{stroke:var(--grid)}
polyline{fill:none;stroke-width:1.6;stroke-linejoin:round}
.dash{stroke-dasharray:5 3}
.k0{stroke:var(--c0)}.k1{stroke:var(--c1)}.k2{stroke:var(--c2)}.k3{stroke:var(--c3)}.k4{stroke:var(--c4)}.k5{stroke:var(--c5)}
ul{list-style:none;padding:0;margin:0;display:flex;flex-wrap:wrap;gap:.2em 1.2em;font-size:13px}
li svg{width:26px;height:8px;margin-right:.4em}
h2{font-size:1.1em;margin:1.6em 0 .2em}p{margin:.2em 0}
</style>
)";

/// Returns a number with at most four significant digits.
std::string to_text(double value)
{
    std::array<char, 32> text{};
    constexpr int digits = 4;
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::general, digits);
    return {text.data(), end.ptr};
}

/// Returns a coordinate with one decimal place.
std::string coordinate(double value)
{
    std::array<char, 32> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed, 1);
    return {text.data(), end.ptr};
}

std::string escape(const std::string& text)
{
    std::string escaped;
    for (const char c : text)
    {
        switch (c)
        {
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '&':
            escaped += "&amp;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

/// Returns 1, 2 or 5 times a power of ten, such that four or five of them cover `range`.
double step_for(double range)
{
    constexpr double steps = 4;
    const double power = std::pow(10, std::floor(std::log10(range / steps)));
    for (const double factor : {1.0, 2.0, 5.0})
    {
        if (factor * power * (steps + 1) >= range)
        {
            return factor * power;
        }
    }
    return 10 * power;
}

struct time_unit
{
    const char* name;
    double seconds;
};

time_unit unit_for(double seconds)
{
    constexpr double minute = 60;
    constexpr double hour = 3'600;
    if (seconds >= 4 * hour)
    {
        return {"hours", hour};
    }
    return seconds >= 4 * minute ? time_unit{"minutes", minute} : time_unit{"seconds", 1};
}

std::string class_of(std::size_t line)
{
    return "k" + std::to_string(line % colours) + (line >= colours ? " dash" : "");
}

std::string text_at(double x, double y, const char* anchor, const std::string& text)
{
    return "<text x=\"" + coordinate(x) + "\" y=\"" + coordinate(y) + "\" text-anchor=\"" + anchor + "\">" +
           escape(text) + "</text>\n";
}

std::string grid_line(double x1, double y1, double x2, double y2)
{
    return "<line class=\"grid\" x1=\"" + coordinate(x1) + "\" y1=\"" + coordinate(y1) + "\" x2=\"" + coordinate(x2) +
           "\" y2=\"" + coordinate(y2) + "\"/>\n";
}

double highest_of(const plot& shown)
{
    double highest = 0;
    for (const auto& line : shown.lines)
    {
        for (const auto& value : line.values)
        {
            highest = std::max(highest, value.value_or(0));
        }
    }
    return highest > 0 ? highest : 1;
}

std::string draw_axes(const plot_page& page, const std::string& unit, double highest)
{
    std::string drawn;
    const double step = step_for(highest);
    for (double value = 0; value <= highest; value += step)
    {
        const double y = top + plot_height * (1 - value / highest);
        drawn +=
            grid_line(left, y, width - right, y) + text_at(left - label_gap, y + half_digit, "end", to_text(value));
    }
    constexpr double ms_per_second = 1'000;
    const double seconds = static_cast<double>(page.interval_ms) * static_cast<double>(page.intervals) / ms_per_second;
    const auto time = unit_for(seconds);
    const double range = seconds / time.seconds;
    const double time_step = step_for(range);
    const double base = top + plot_height;
    for (double value = 0; value <= range; value += time_step)
    {
        const double x = left + plot_width * value / range;
        drawn += grid_line(x, top, x, base) + text_at(x, base + 2 * label_gap + 2, "middle", to_text(value));
    }
    drawn += text_at(left + plot_width / 2, height - label_gap, "middle", std::string{time.name} + " since the begin");
    const auto middle = coordinate(top + plot_height / 2);
    return drawn + "<text x=\"12\" y=\"" + middle + "\" text-anchor=\"middle\" transform=\"rotate(-90 12 " + middle +
           ")\">" + escape(unit) + "</text>\n";
}

std::string draw_line(const plot_page& page, const plot_line& line, std::size_t number, double highest)
{
    std::string drawn;
    std::string points;
    const auto finish = [&]
    {
        if (!points.empty())
        {
            drawn += "<polyline class=\"" + class_of(number) + "\" points=\"" + points + "\"/>\n";
        }
        points.clear();
    };
    const double interval = plot_width / static_cast<double>(page.intervals);
    for (std::size_t i = 0; i < line.values.size(); ++i)
    {
        if (!line.values[i])
        {
            finish();
            continue;
        }
        const auto y = coordinate(top + plot_height * (1 - *line.values[i] / highest));
        // Both ends of the interval where it stands alone, else a line to a single point is not visible.
        const double begin = left + static_cast<double>(i) * interval;
        const bool is_alone = points.empty() && (i + 1 == line.values.size() || !line.values[i + 1]);
        points += points.empty() ? "" : " ";
        points += coordinate(is_alone ? begin : begin + interval / 2);
        points.append(",").append(y);
        if (is_alone)
        {
            points.append(" ").append(coordinate(begin + interval)).append(",").append(y);
        }
    }
    finish();
    return drawn;
}

std::string draw(const plot_page& page, const plot& shown)
{
    auto drawn = "<h2>" + escape(shown.title) + "</h2>\n<p>" + escape(shown.note) + "</p>\n";
    if (shown.lines.empty())
    {
        return drawn + "<p>None in this time.</p>\n";
    }
    const double highest = highest_of(shown);
    drawn += "<svg viewBox=\"0 0 " + coordinate(width) + " " + coordinate(height) + "\" role=\"img\" aria-label=\"" +
             escape(shown.title + ", " + shown.unit) + "\">\n" + draw_axes(page, shown.unit, highest);
    std::string legend;
    for (std::size_t i = 0; i < shown.lines.size(); ++i)
    {
        drawn += draw_line(page, shown.lines[i], i, highest);
        legend += "<li><svg viewBox=\"0 0 26 8\"><polyline class=\"" + class_of(i) + "\" points=\"0,4 26,4\"/></svg>" +
                  escape(shown.lines[i].label) + "</li>\n";
    }
    return drawn + "</svg>\n<ul>\n" + legend + "</ul>\n";
}

std::string time_text(std::int64_t time_ms)
{
    constexpr std::int64_t ms_per_second = 1'000;
    const auto seconds = static_cast<std::time_t>(time_ms / ms_per_second);
    std::tm date{};
    ::gmtime_r(&seconds, &date);
    std::array<char, 32> text{};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S UTC", &date);
    return {text.data(), length};
}

} // namespace

std::string to_html(const plot_page& page)
{
    auto html = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
                "<meta name=\"viewport\" content=\"width=device-width\">\n<title>Hosts since " +
                time_text(page.begin_ms) + "</title>\n" + style + "</head><body>\n<h1>Hosts since " +
                time_text(page.begin_ms) + "</h1>\n<p>" + std::to_string(page.hosts) +
                " hosts; each point stands for " + std::to_string(page.interval_ms / 1'000) + " s.</p>\n";
    for (const auto& shown : page.plots)
    {
        html += draw(page, shown);
    }
    return html + "</body></html>\n";
}

} // namespace galenabay::inspect
