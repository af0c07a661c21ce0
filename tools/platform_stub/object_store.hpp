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

/// An object and the version of its latest change.
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

/// Result of a write: the new version, or the present one after a conflict.
struct write_outcome
{
    write_status status = write_status::done;
    std::uint64_t version = 0;
};

/// In-memory object store with one version counter for all objects, a log of changes
/// for stale reads and restores, and blocking watches. Thread-safe.
class object_store
{
public:
    /// Returns nullopt if the object does not exist.
    std::optional<stored_object> get(const std::string& key) const;
    /// Returns the object as it was before its latest change; nullopt if it did not exist then.
    std::optional<stored_object> get_previous(const std::string& key) const;
    /// Returns the objects whose keys start with `prefix`, sorted by key.
    std::vector<stored_object> list(const std::string& prefix) const;
    /// Writes or removes an object. `expected`: version that it must have, 0 if it must
    /// not exist; nullopt: any.
    write_outcome put(const std::string& key, std::string value, std::optional<std::uint64_t> expected);
    write_outcome remove(const std::string& key, std::optional<std::uint64_t> expected);
    /// Waits for at most `wait` until the object exists with a version other than
    /// `after`; returns nullopt otherwise.
    std::optional<stored_object> watch(const std::string& key, std::uint64_t after, std::chrono::milliseconds wait);
    /// Returns to the state at `version`, including the version counter, like a
    /// restore from a backup. Returns false if the log does not reach back that far.
    bool restore(std::uint64_t version);
    /// Returns the version of the latest change.
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
    /// Version of the latest change that was removed from the log.
    std::uint64_t trimmed_version_ = 0;
    std::uint64_t version_ = 0;
    bool stopping_ = false;
};

} // namespace galenabay::stub
