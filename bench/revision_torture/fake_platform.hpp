#pragma once

#include "virtual_time.hpp"

#include <galenabay/base/random.hpp>
#include <galenabay/object_api/object_client.hpp>

#include <src/object_api/manifest.hpp>
#include <tools/platform_stub/object_store.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace galenabay::revision_torture
{

/// Probability of each fault per call, in percent.
struct fault_rates
{
    /// A read returns the previous version of the object.
    std::uint64_t stale = 0;
    /// A write is performed but reports a timeout.
    std::uint64_t lost_answer = 0;
    /// A write reports a timeout and takes effect up to 5 s later.
    std::uint64_t late_write = 0;
    /// A call fails as exhausted.
    std::uint64_t rejected = 0;
    /// A call takes up to 1 s instead of 20 ms.
    std::uint64_t slow = 0;
};

/// Record of the revisions that the platform accepted. The results of applies and
/// the revisions of hosts are checked against it.
struct commit_log
{
    /// Number and digest of every manifest that was committed.
    std::set<std::pair<std::uint64_t, std::string>> committed;
    /// Number of writes of each manifest since the latest restore, by its text.
    std::map<std::string, std::size_t> manifest_counts;
    std::size_t restores = 0;
};

/// The object API of the platform with injected faults and delays, in virtual
/// time.
class fake_platform
{
public:
    fake_platform(event_queue& queue, base::random_source& random) : queue_{queue}, random_{random} {}

    base::result<object_api::object> get(const std::string& key);
    base::result<std::vector<object_api::object>> list(const std::string& prefix);
    base::result<std::uint64_t> put(const std::string& key, const std::string& value, std::uint64_t expected);
    base::result<void> remove(const std::string& key, std::uint64_t expected);

    void set_down(bool down) noexcept { down_ = down; }
    void set_rates(const fault_rates& rates) noexcept { rates_ = rates; }
    /// Restores the objects of an earlier version and drops delayed writes.
    void restore(std::uint64_t version);

    const commit_log& commits() const noexcept { return commit_log_; }
    const stub::object_store& objects() const noexcept { return objects_; }
    std::uint64_t version() const { return objects_.version(); }
    std::size_t faults() const noexcept { return faults_; }
    std::size_t calls() const noexcept { return calls_; }
    /// The latest violation of a guarantee that the platform itself detected; empty:
    /// none.
    const std::string& violation() const noexcept { return violation_; }

private:
    /// Decides at random whether a fault occurs, and counts it if so.
    bool should_inject(std::uint64_t percent);
    /// Lets the virtual time of one call pass and counts the call.
    void simulate_latency();
    base::error make_error(base::error_code code, const char* step);
    base::result<std::uint64_t> write(const std::string& key, const std::string& value, std::uint64_t expected);
    /// Records a committed manifest and checks that its set is complete.
    void record_manifest(const std::string& text);
    bool was_just_restored() const;
    bool has_all_chunks(const object_api::manifest& content) const;

    event_queue& queue_;
    base::random_source& random_;
    stub::object_store objects_;
    commit_log commit_log_;
    fault_rates rates_;
    bool down_ = false;
    std::uint64_t epoch_ = 0;
    std::optional<event_queue::time> restored_at_;
    std::size_t faults_ = 0;
    std::size_t calls_ = 0;
    std::string violation_;
};

/// Client of the fake platform for `store_logic`. While `*disconnected` is true,
/// every call fails as unavailable.
class fake_client
{
public:
    explicit fake_client(fake_platform& target, const bool* disconnected = nullptr)
        : target_{&target}, disconnected_{disconnected}
    {
    }

    base::result<object_api::object> get(const std::string& key) const;
    base::result<std::vector<object_api::object>> list(const std::string& prefix) const;
    base::result<std::vector<object_api::object>> list_keys(const std::string& prefix) const { return list(prefix); }
    base::result<std::uint64_t> put(const std::string& key, const std::string& value, std::uint64_t expected) const;
    base::result<void> remove(const std::string& key, std::uint64_t expected) const;
    base::result<object_api::object> watch(const std::string& key, std::uint64_t after,
                                           std::chrono::milliseconds wait) const;

private:
    bool is_disconnected() const { return disconnected_ != nullptr && *disconnected_; }

    fake_platform* target_;
    const bool* disconnected_;
};

} // namespace galenabay::revision_torture
