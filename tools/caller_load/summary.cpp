#include "summary.hpp"

#include <algorithm>
#include <chrono>
#include <iostream>

namespace galenabay::stand_in
{

namespace
{

constexpr double microseconds_per_millisecond = 1000;

double milliseconds(base::duration value)
{
    return static_cast<double>(value.count()) / microseconds_per_millisecond;
}

double percentile(const std::vector<base::duration>& sorted, double share)
{
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return milliseconds(sorted[index]);
}

} // namespace

std::uint64_t summary::get(const std::string& key) const
{
    const auto found = counts_.find(key);
    return found == counts_.end() ? 0 : found->second;
}

void summary::add_latency(const std::string& request_class, base::duration value)
{
    latencies_[request_class].push_back(value);
}

void summary::add_answer_from(const std::string& service, const std::string& upstream)
{
    ++answers_by_upstream_[service][upstream];
}

void summary::violation(const std::string& key, const std::string& detail)
{
    add(key);
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    std::cerr << "violation=" << key
              << " time_ms=" << std::chrono::duration_cast<std::chrono::milliseconds>(now).count() << ' ' << detail
              << '\n';
}

void summary::print_latencies(std::ostream& out) const
{
    for (const auto& [name, values] : latencies_)
    {
        auto sorted = values;
        std::sort(sorted.begin(), sorted.end());
        out << name << "_count=" << sorted.size() << '\n';
        out << name << "_p50_ms=" << percentile(sorted, 0.5) << '\n';
        out << name << "_p90_ms=" << percentile(sorted, 0.9) << '\n';
        out << name << "_p99_ms=" << percentile(sorted, 0.99) << '\n';
        out << name << "_max_ms=" << milliseconds(sorted.back()) << '\n';
    }
}

void summary::print_answer_shares(std::ostream& out) const
{
    for (const auto& [service, upstreams] : answers_by_upstream_)
    {
        std::uint64_t total = 0;
        for (const auto& [name, count] : upstreams)
        {
            total += count;
        }
        for (const auto& [name, count] : upstreams)
        {
            const double share = 100.0 * static_cast<double>(count) / static_cast<double>(total);
            out << "share service=" << service << " upstream=" << name << " answers=" << count << " percent=" << share
                << '\n';
        }
    }
}

void summary::print(std::ostream& out) const
{
    for (const auto& [key, count] : counts_)
    {
        out << key << '=' << count << '\n';
    }
    print_latencies(out);
    print_answer_shares(out);
}

} // namespace galenabay::stand_in
