#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace galenabay::stub
{

/// Faults that are in force; see `apply` for the JSON keys.
struct faults
{
    /// Every call gets 503.
    bool down = false;
    /// Every call waits first.
    std::uint64_t delay_ms = 0;
    /// So many writes take effect but their answers are lost.
    std::uint64_t lose_write_answers = 0;
    /// Every n-th call gets 429; 0: none.
    std::uint64_t reject_every = 0;
    /// So many reads return the state before the latest change.
    std::uint64_t stale_reads = 0;
};

/// Calls since the start, as the platform bills them.
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

/// How a call goes on.
enum class admission
{
    proceed,
    rejected,
    unavailable,
};

/// Rate limits, faults and counters of the stand-in. Thread-safe.
class fault_state
{
public:
    fault_state(double writes_per_second, double reads_per_second);

    /// Counts a call and decides whether it is served.
    admission admit(call_kind kind);
    std::chrono::milliseconds delay() const;
    bool take_lost_answer();
    bool take_stale_read();
    void add_bytes(std::size_t count);

    /// Sets the faults named in a JSON object, for example
    /// {"down": true, "delay_ms": 50}; returns the "restore_version" it asks
    /// for. Throws Poco::Exception on malformed JSON.
    std::optional<std::uint64_t> apply(const std::string& json);
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
