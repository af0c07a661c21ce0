#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace galenabay::stub
{

/// Faults to inject; the members are the JSON keys of `fault_state::apply`.
struct faults
{
    /// Every call is answered with 503.
    bool down = false;
    /// Delay of every call.
    std::uint64_t delay_ms = 0;
    /// Number of further writes that take effect but whose answers are lost.
    std::uint64_t lose_write_answers = 0;
    /// Every n-th call is answered with 429; 0: none.
    std::uint64_t reject_every = 0;
    /// Number of further reads that return the state before the latest change.
    std::uint64_t stale_reads = 0;
};

/// Number of calls since the start, by the kinds that the platform bills.
struct call_counts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t lists = 0;
    std::uint64_t rejected = 0;
    std::uint64_t unavailable = 0;
    std::uint64_t lost_answers = 0;
    std::uint64_t bytes_out = 0;
};

enum class call_kind
{
    read,
    write,
    watch,
    list,
};

/// Whether a call is served.
enum class admission
{
    proceed,
    rejected,
    unavailable,
};

/// Rate limits, injected faults and counters of the stub. Thread-safe.
class fault_state
{
public:
    /// The rate limits are token buckets that hold one second's worth of calls.
    fault_state(double writes_per_second, double reads_per_second);

    /// Counts a call and decides whether it is served.
    admission admit(call_kind kind);
    /// Returns the injected delay of a call.
    std::chrono::milliseconds delay() const;
    /// Returns true if the answer to the current write is to be lost, and then decrements
    /// `lose_write_answers`.
    bool take_lost_answer();
    /// Same for the current read and `stale_reads`.
    bool take_stale_read();
    /// Adds to the number of bytes sent.
    void add_bytes(std::size_t count);

    /// Sets the faults named in a JSON object, for example
    /// {"down": true, "delay_ms": 50}; returns the value of "restore_version", if
    /// given. Throws Poco::Exception on malformed JSON.
    std::optional<std::uint64_t> apply(const std::string& json);
    /// Returns the counters as a JSON object.
    std::string stats_json() const;
    call_counts counts() const;

private:
    struct bucket
    {
        double per_second = 0;
        double tokens = 0;
        std::chrono::steady_clock::time_point refilled = std::chrono::steady_clock::now();
        bool take();
    };

    mutable std::mutex mutex_;
    faults faults_;
    call_counts counts_;
    bucket writes_;
    bucket reads_;
    std::uint64_t calls_ = 0;
};

} // namespace galenabay::stub
