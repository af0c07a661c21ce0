#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace galenabay::stub
{

struct stored_object
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;
};

enum class write_status
{
    done,
    not_found,
    conflict,
};

struct write_outcome
{
    write_status status = write_status::done;
    std::uint64_t version = 0;
};

/// Objects in memory with one version counter for all of them, a log of changes
/// for stale reads and restores, and waiting watches. Thread-safe.
class object_store
{
public:
    std::optional<stored_object> get(const std::string& key) const;
    /// The state of the object before its latest change.
    std::optional<stored_object> get_previous(const std::string& key) const;
    std::vector<stored_object> list(const std::string& prefix) const;
    /// `expected`: version that the object must have, 0 when it must not exist;
    /// nullopt writes in any case.
    write_outcome put(const std::string& key, std::string value, std::optional<std::uint64_t> expected);
    write_outcome remove(const std::string& key, std::optional<std::uint64_t> expected);
    /// Waits until the object's version differs from `after`.
    std::optional<stored_object> watch(const std::string& key, std::uint64_t after, std::chrono::milliseconds wait);
    /// Goes back to the state at `version`, counter included, as a restore from
    /// a backup does. False when the log does not reach back that far.
    bool restore(std::uint64_t version);
    std::uint64_t version() const;
    /// Ends all waiting watches.
    void stop();

private:
    struct change
    {
        stored_object object;
        bool removed = false;
    };

    write_outcome check(const std::string& key, std::optional<std::uint64_t> expected) const;
    void record(stored_object object, bool removed);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, stored_object> objects_;
    std::deque<change> log_;
    std::size_t log_bytes_ = 0;
    std::uint64_t trimmed_version_ = 0;
    std::uint64_t version_ = 0;
    bool stopping_ = false;
};

} // namespace galenabay::stub
