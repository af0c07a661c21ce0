#pragma once

#include <cstdint>
#include <cstdio>
#include <map>
#include <string>
#include <unordered_map>

namespace galenabay::edge_soak
{

/// Counts the requests, flows, resets and faults of one run, and prints violations. Use it
/// from one thread.
class soak_results
{
public:
    /// Counts and prints a violation of `promise` at `seconds` of the run.
    void violation(const std::string& promise, double seconds, const std::string& detail)
    {
        ++violations_[promise];
        std::printf("violation promise=%s at=%.3f %s\n", promise.c_str(), seconds, detail.c_str());
        std::fflush(stdout);
    }

    /// Records that an upstream ran a request. Returns true the first time.
    bool record_run(std::uint64_t request) { return ++runs_[request] == 1; }

    std::uint64_t asked = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t flows = 0;
    /// Resets that hosts sent.
    std::uint64_t resets = 0;
    std::map<std::string, std::uint64_t> faults;

    std::uint64_t violations() const
    {
        std::uint64_t sum = 0;
        for (const auto& [promise, count] : violations_)
        {
            sum += count;
        }
        return sum;
    }

    /// Prints the counters as key=value pairs.
    void print(std::uint64_t seed, std::uint64_t store_calls) const
    {
        std::printf("seed=%llu asked=%llu answered=%llu failed=%llu flows=%llu resets=%llu store_calls=%llu\nfaults",
                    static_cast<unsigned long long>(seed), static_cast<unsigned long long>(asked),
                    static_cast<unsigned long long>(answered), static_cast<unsigned long long>(failed),
                    static_cast<unsigned long long>(flows), static_cast<unsigned long long>(resets),
                    static_cast<unsigned long long>(store_calls));
        for (const auto& [name, count] : faults)
        {
            std::printf(" %s=%llu", name.c_str(), static_cast<unsigned long long>(count));
        }
        std::printf("\nviolations=%llu\n", static_cast<unsigned long long>(violations()));
    }

private:
    std::map<std::string, std::uint64_t> violations_;
    std::unordered_map<std::uint64_t, std::uint64_t> runs_;
};

} // namespace galenabay::edge_soak
