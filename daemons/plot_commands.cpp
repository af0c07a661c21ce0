#include "plot_commands.hpp"

#include <galenabay/inspect/fleet_plots.hpp>
#include <galenabay/inspect/metric_samples.hpp>

#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <iterator>
#include <optional>
#include <system_error>
#include <thread>
#include <utility>

namespace galenabay
{

namespace
{

constexpr int exit_done = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_input = 2;
/// Each reading of a host has a thread of its own, so that one that does not answer does not delay the others.
constexpr std::size_t max_hosts = 64;

using std::chrono::milliseconds;

int report(const std::string& file, const std::string& detail, int code)
{
    std::cerr << "galenactl: " << file << ": " << detail << '\n';
    return code;
}

std::optional<std::string> read_page(const base::endpoint& host)
{
    auto page = inspect::read_metrics(host);
    return page ? std::optional{std::move(page.value())} : std::nullopt;
}

/// Reads all hosts at once and returns the lines for the file.
std::string read_hosts(const std::vector<base::endpoint>& hosts, inspect::sample_recorder& recorder)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto now_ms = std::chrono::duration_cast<milliseconds>(now).count();
    std::vector<std::future<std::optional<std::string>>> pages;
    pages.reserve(hosts.size());
    for (const auto& host : hosts)
    {
        pages.push_back(std::async(std::launch::async, read_page, host));
    }
    std::string lines;
    for (std::size_t i = 0; i < hosts.size(); ++i)
    {
        lines += recorder.record(hosts[i].to_string(), now_ms, pages[i].get());
    }
    return lines;
}

std::uint64_t size_of(const std::string& file)
{
    std::error_code missing;
    const auto size = std::filesystem::file_size(file, missing);
    return missing ? 0 : size;
}

std::optional<std::string> read_file(const std::string& file)
{
    std::ifstream in{file, std::ios::binary};
    std::string text{std::istreambuf_iterator<char>{in}, std::istreambuf_iterator<char>{}};
    return in ? std::optional{std::move(text)} : std::nullopt;
}

/// Returns the files that a name stands for; a directory for its logs.
std::vector<std::string> log_files(const std::string& name)
{
    std::error_code failure;
    if (!std::filesystem::is_directory(name, failure))
    {
        return {name};
    }
    std::vector<std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator{name, failure})
    {
        if (entry.path().extension() == ".log")
        {
            files.push_back(entry.path().string());
        }
    }
    return files;
}

/// Reads a log line by line, since a day of logs may be larger than the memory. Returns false when it can't be read.
bool read_log(const std::string& file, inspect::forwarded_flows& flows)
{
    std::ifstream in{file};
    if (!in)
    {
        return false;
    }
    for (std::string line; std::getline(in, line);)
    {
        flows.add(line);
    }
    return !in.bad();
}

} // namespace

int sample_metrics(const sample_request& request)
{
    if (request.hosts.empty() || request.hosts.size() > max_hosts || request.interval <= milliseconds{0})
    {
        std::cerr << "galenactl: sample needs 1 to " << max_hosts << " --host and an --interval above 0\n";
        return exit_bad_input;
    }
    std::ofstream out{request.file, std::ios::app | std::ios::binary};
    inspect::sample_recorder recorder;
    auto size = size_of(request.file);
    const auto begin = std::chrono::steady_clock::now();
    for (auto next = begin; request.duration == milliseconds{0} || next - begin <= request.duration;)
    {
        const auto lines = read_hosts(request.hosts, recorder);
        if (size + lines.size() > request.limit)
        {
            std::cout << "galenactl: " << request.file << " has reached its limit of " << request.limit << " bytes\n";
            return exit_done;
        }
        size += lines.size();
        if (!(out << lines << std::flush))
        {
            return report(request.file, "can't be written", exit_failed);
        }
        // Readings that were missed are left out.
        const auto now = std::chrono::steady_clock::now();
        next = std::max(next + request.interval, now);
        std::this_thread::sleep_until(next);
    }
    return exit_done;
}

int plot_samples(const plot_request& request)
{
    std::vector<std::string> files;
    for (const auto& name : request.samples)
    {
        auto text = read_file(name);
        if (!text)
        {
            return report(name, "can't be read", exit_bad_input);
        }
        files.push_back(std::move(*text));
    }
    inspect::forwarded_flows flows;
    for (const auto& name : request.logs)
    {
        const auto found = log_files(name);
        if (found.empty())
        {
            return report(name, "has no readable *.log files", exit_bad_input);
        }
        for (const auto& file : found)
        {
            if (!read_log(file, flows))
            {
                return report(file, "can't be read", exit_bad_input);
            }
        }
    }
    const auto page = inspect::make_plots(inspect::decode_samples(files), flows);
    if (page.plots.empty())
    {
        std::cerr << "galenactl: no samples or log lines to plot\n";
        return exit_bad_input;
    }
    std::ofstream out{request.page, std::ios::binary};
    if (!(out << inspect::to_html(page) << std::flush))
    {
        return report(request.page, "can't be written", exit_failed);
    }
    return exit_done;
}

} // namespace galenabay
