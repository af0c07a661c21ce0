#pragma once

#include <galenabay/base/time.hpp>

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace galenabay::stand_in
{

/// Collects counts and latencies of one load run and prints them as key=value lines. Owned
/// by one thread.
class summary
{
public:
    void add(const std::string& key, std::uint64_t count = 1) { counts_[key] += count; }
    void set(const std::string& key, std::uint64_t count) { counts_[key] = count; }
    /// Returns a count; 0 if the key was never counted.
    std::uint64_t get(const std::string& key) const;

    /// Adds a time from the first transmission to the complete answer.
    void add_latency(const std::string& request_class, base::duration value);
    /// Counts an answer from an upstream of a service.
    void add_answer_from(const std::string& service, const std::string& upstream);

    /// Counts a violation and prints it at once, with the time in ms since 1970.
    void violation(const std::string& key, const std::string& detail);

    void print(std::ostream& out) const;

private:
    void print_latencies(std::ostream& out) const;
    void print_answer_shares(std::ostream& out) const;

    std::map<std::string, std::uint64_t> counts_;
    std::map<std::string, std::vector<base::duration>> latencies_;
    std::map<std::string, std::map<std::string, std::uint64_t>> answers_by_upstream_;
};

} // namespace galenabay::stand_in
