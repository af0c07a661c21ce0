#include <galenabay/inspect/metric_samples.hpp>

#include "plotted_metrics.hpp"

#include <galenabay/net/http_session.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <system_error>
#include <utility>

namespace galenabay::inspect
{

namespace
{

constexpr std::chrono::milliseconds metrics_timeout{500};
/// A page has some 15 KB; services and urgencies add some 100 bytes each.
constexpr std::size_t max_page_bytes = 1U << 20U;
constexpr const char* host_label = "host";
constexpr const char* up_metric = "up";

/// Takes the text up to one of `ends` from the front of `rest`.
std::string_view take_until(std::string_view& rest, std::string_view ends)
{
    const auto taken = rest.substr(0, rest.find_first_of(ends));
    rest.remove_prefix(taken.size());
    return taken;
}

bool take(std::string_view& rest, char expected)
{
    if (rest.empty() || rest.front() != expected)
    {
        return false;
    }
    rest.remove_prefix(1);
    return true;
}

/// Takes a quoted value. Returns nothing when its end is missing.
std::optional<std::string> take_quoted(std::string_view& rest)
{
    if (!take(rest, '"'))
    {
        return std::nullopt;
    }
    std::string value;
    while (!rest.empty() && rest.front() != '"')
    {
        char next = rest.front();
        rest.remove_prefix(1);
        if (next == '\\' && !rest.empty())
        {
            next = rest.front() == 'n' ? '\n' : rest.front();
            rest.remove_prefix(1);
        }
        value += next;
    }
    return take(rest, '"') ? std::optional{value} : std::nullopt;
}

/// Takes labels with their braces. Returns false when they are unreadable.
bool take_labels(std::string_view& rest, std::map<std::string, std::string>& labels)
{
    if (!take(rest, '{'))
    {
        return true;
    }
    while (!take(rest, '}'))
    {
        const auto name = std::string{take_until(rest, "=")};
        if (name.empty() || !take(rest, '='))
        {
            return false;
        }
        auto value = take_quoted(rest);
        if (!value)
        {
            return false;
        }
        labels.emplace(name, std::move(*value));
        if (!take(rest, ',') && !rest.starts_with('}'))
        {
            return false;
        }
    }
    return true;
}

template <typename Number> std::optional<Number> take_number(std::string_view& rest)
{
    while (take(rest, ' '))
    {
    }
    Number number{};
    const auto [end, failure] = std::from_chars(rest.data(), rest.data() + rest.size(), number);
    if (failure != std::errc{})
    {
        return std::nullopt;
    }
    rest.remove_prefix(static_cast<std::size_t>(end - rest.data()));
    return number;
}

std::string quoted(const std::string& value)
{
    std::string text{'"'};
    for (const char c : value)
    {
        if (c == '"' || c == '\\')
        {
            text += '\\';
        }
        text += c == '\n' ? std::string{"\\n"} : std::string{c};
    }
    return text + '"';
}

/// Returns the line up to the value.
std::string key_of(const metric_value& value)
{
    std::string labels;
    for (const auto& [name, text] : value.labels)
    {
        labels += (labels.empty() ? "" : ",") + name + "=" + quoted(text);
    }
    return value.name + (labels.empty() ? "" : "{" + labels + "}");
}

template <typename Action> void for_each_line(std::string_view text, const Action& action)
{
    while (!text.empty())
    {
        const auto line = take_until(text, "\n");
        // A last line without its end may be cut off within a number.
        if (!take(text, '\n'))
        {
            return;
        }
        action(line);
    }
}

/// Puts a point for each time of `answers` into a series that has points where its value changed.
void fill(metric_series& series, const std::vector<sample_point>& answers)
{
    std::vector<sample_point> filled;
    auto next = series.points.begin();
    double value = 0;
    for (const auto& answer : answers)
    {
        while (next != series.points.end() && next->time_ms <= answer.time_ms)
        {
            value = next++->value;
        }
        if (answer.value > 0)
        {
            filled.push_back({answer.time_ms, value});
        }
    }
    series.points = std::move(filled);
}

} // namespace

std::optional<metric_value> parse_metric(std::string_view line)
{
    metric_value read;
    read.name = std::string{take_until(line, "{ ")};
    if (read.name.empty() || read.name.starts_with('#') || !take_labels(line, read.labels))
    {
        return std::nullopt;
    }
    const auto value = take_number<double>(line);
    if (!value || !std::isfinite(*value))
    {
        return std::nullopt;
    }
    read.value = *value;
    if (!line.empty())
    {
        read.time_ms = take_number<std::int64_t>(line);
    }
    return line.empty() ? std::optional{read} : std::nullopt;
}

std::string to_string(const metric_value& value)
{
    std::array<char, 32> number{};
    const auto written = std::to_chars(number.data(), number.data() + number.size(), value.value);
    return key_of(value) + " " + std::string(number.data(), written.ptr) +
           (value.time_ms ? " " + std::to_string(*value.time_ms) : "");
}

base::result<std::string> read_metrics(const base::endpoint& host)
{
    auto session = net::http_session::make(host, metrics_timeout);
    net::http_request request;
    request.step = "read_metrics";
    request.method = "GET";
    request.path = "/metrics";
    request.timeout = metrics_timeout;
    request.max_response = max_page_bytes;
    BOOST_OUTCOME_TRY(response, session.call(request));
    return std::move(response.body);
}

std::string sample_recorder::record(const std::string& host, std::int64_t time_ms,
                                    const std::optional<std::string>& page)
{
    const metric_value up{up_metric, {{host_label, host}}, page ? 1.0 : 0.0, time_ms};
    auto lines = to_string(up) + "\n";
    auto& written = written_[host];
    if (!page)
    {
        // The host may start anew with all values at 0, which must then be written.
        written.clear();
        return lines;
    }
    for_each_line(*page,
                  [&](std::string_view line)
                  {
                      auto read = parse_metric(line);
                      if (!read || !is_plotted(read->name))
                      {
                          return;
                      }
                      read->labels[host_label] = host;
                      read->time_ms = time_ms;
                      const auto [known, is_new] = written.try_emplace(key_of(*read), read->value);
                      if (is_new || known->second != read->value)
                      {
                          known->second = read->value;
                          lines += to_string(*read) + "\n";
                      }
                  });
    return lines;
}

std::vector<metric_series> decode_samples(const std::vector<std::string>& files)
{
    std::map<std::string, metric_series> found;
    const auto add = [&](std::string_view line)
    {
        auto read = parse_metric(line);
        if (!read || !read->time_ms || !read->labels.contains(host_label))
        {
            return;
        }
        auto& series = found[key_of(*read)];
        series.points.push_back({*read->time_ms, read->value});
        if (series.name.empty())
        {
            series.name = std::move(read->name);
            series.host = read->labels.extract(host_label).mapped();
            series.labels = std::move(read->labels);
        }
    };
    for (const auto& file : files)
    {
        for_each_line(file, add);
    }
    std::map<std::string, std::vector<sample_point>> answers;
    for (auto& [key, series] : found)
    {
        std::stable_sort(series.points.begin(), series.points.end(),
                         [](const auto& left, const auto& right) { return left.time_ms < right.time_ms; });
        if (series.name == up_metric)
        {
            answers[series.host] = series.points;
        }
    }
    std::vector<metric_series> all;
    for (auto& [key, series] : found)
    {
        if (series.name != up_metric)
        {
            fill(series, answers[series.host]);
        }
        if (!series.points.empty())
        {
            all.push_back(std::move(series));
        }
    }
    return all;
}

} // namespace galenabay::inspect
