#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/result.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenabay::inspect
{

/// One line of the Prometheus text format. Plain value.
struct metric_value
{
    std::string name;
    std::map<std::string, std::string> labels;
    double value = 0;
    /// Milliseconds since 1970; none in what a host serves.
    std::optional<std::int64_t> time_ms{};

    friend auto operator<=>(const metric_value&, const metric_value&) = default;
};

/// Reads one line of the Prometheus text format. Returns nothing for a comment, and for a line that is cut off or
/// otherwise unreadable.
std::optional<metric_value> parse_metric(std::string_view line);
/// Returns the line without its end.
std::string to_string(const metric_value& value);

/// Reads the metrics page of a host. Blocks for 1.5 s at most. Errors: those of the HTTP call.
base::result<std::string> read_metrics(const base::endpoint& host);

/// Makes the lines of a sample file: of each host and time `up` (1 when the host answered, else 0), and those metrics
/// of the plots whose value is not the one written last, all with the label `host` and the time.
class sample_recorder
{
public:
    /// Returns the lines for one reading of a host; `page` is nothing when the host did not answer.
    std::string record(const std::string& host, std::int64_t time_ms, const std::optional<std::string>& page);

private:
    /// Last written values by host and line up to the value.
    std::map<std::string, std::map<std::string, double>> written_;
};

/// A value at a time. Plain value.
struct sample_point
{
    std::int64_t time_ms = 0;
    double value = 0;

    friend auto operator<=>(const sample_point&, const sample_point&) = default;
};

/// A metric of a host over time. Plain value.
struct metric_series
{
    std::string host;
    std::string name;
    std::map<std::string, std::string> labels;
    /// A point for each time at which the host answered, in their order.
    std::vector<sample_point> points;

    friend auto operator<=>(const metric_series&, const metric_series&) = default;
};

/// Reads the lines of sample files. A metric that appears while its host answers counts as 0 before.
std::vector<metric_series> decode_samples(const std::vector<std::string>& files);

} // namespace galenabay::inspect
