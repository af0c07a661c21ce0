#include "answer_time_lines.hpp"

#include <algorithm>
#include <cstdint>
#include <iomanip>
#include <map>
#include <optional>
#include <sstream>
#include <utility>

namespace galenabay::inspect
{

namespace
{

/// Estimates of one upstream on all hosts.
struct joined_estimate
{
    double least = 0;
    double greatest = 0;
    std::size_t hosts = 0;
    /// Most samples that one host knows: the sums of the hosts contain the same samples.
    std::uint32_t samples = 0;
    std::optional<std::chrono::milliseconds> newest_sample_ago;

    void add(const steer::upstream_answer_time& one)
    {
        least = hosts == 0 ? one.relative : std::min(least, one.relative);
        greatest = hosts == 0 ? one.relative : std::max(greatest, one.relative);
        ++hosts;
        samples = std::max(samples, one.samples);
        if (one.newest_sample_ago)
        {
            newest_sample_ago = std::min(newest_sample_ago.value_or(*one.newest_sample_ago), *one.newest_sample_ago);
        }
    }
};

std::string describe(const joined_estimate& estimate)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << "relative answer time " << estimate.least;
    if (estimate.greatest > estimate.least)
    {
        text << " to " << estimate.greatest;
    }
    text << " on " << estimate.hosts << (estimate.hosts == 1 ? " host, " : " hosts, ") << estimate.samples
         << " samples, newest ";
    if (estimate.newest_sample_ago)
    {
        text << estimate.newest_sample_ago->count() << " ms ago";
    }
    else
    {
        text << "none";
    }
    return text.str();
}

} // namespace

std::string label_of(const host_answer& host)
{
    return "host " + (host.name.empty() ? "" : host.name + " in " + host.data_centre + " at ") +
           host.address.to_string() + ": ";
}

std::string describe_failure(const base::error& failure)
{
    return " (" + std::string{base::name_of(failure.code())} + " in " + failure.step() + ": " + failure.detail() + ")";
}

void add_answer_times(const std::vector<host_answer>& hosts, std::vector<std::string>& lines)
{
    std::map<std::pair<std::string, std::string>, joined_estimate> estimates;
    for (const auto& host : hosts)
    {
        for (const auto& one : host.answer_times.upstreams)
        {
            estimates[{one.service, one.id}].add(one);
        }
    }
    for (const auto& [name, estimate] : estimates)
    {
        lines.push_back("upstream " + name.second + " of " + name.first + ": " + describe(estimate));
    }
    for (const auto& host : hosts)
    {
        if (host.answer_times_failure)
        {
            lines.push_back(label_of(host) + "no answer times" + describe_failure(*host.answer_times_failure));
        }
        if (host.answer_times.left_out > 0)
        {
            lines.push_back(label_of(host) + "answer times without " + std::to_string(host.answer_times.left_out) +
                            " upstreams, those nearest to 1");
        }
    }
}

} // namespace galenabay::inspect
