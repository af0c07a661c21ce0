#pragma once

#include <galenabay/base/endpoint.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace galenabay
{

/// What `galenactl sample` was asked for.
struct sample_request
{
    /// Addresses at which hosts serve `/metrics`.
    std::vector<base::endpoint> hosts;
    /// File to which samples are appended.
    std::string file;
    std::chrono::milliseconds interval{0};
    /// Without a limit when 0.
    std::chrono::milliseconds duration{0};
    /// Largest size of the file in bytes.
    std::uint64_t limit = 0;
};

/// Reads the metrics of hosts at each interval and appends them to a file, until the duration is over or the next
/// lines would exceed the limit. Returns the exit code: 0 done, 1 the file can't be written, 2 bad input.
int sample_metrics(const sample_request& request);

/// What `galenactl plot` was asked for.
struct plot_request
{
    std::vector<std::string> samples;
    /// Files with log lines of hosts, or directories with files whose names end with `.log`.
    std::vector<std::string> logs;
    std::string page;
};

/// Writes a page with plots of samples and logs. Returns the exit code: 0 done, 1 the page can't be written,
/// 2 samples or logs can't be read or have no content.
int plot_samples(const plot_request& request);

} // namespace galenabay
