#pragma once

#include "metric_table.hpp"
#include "thread_state.hpp"
#include <galenabay/net/wakeup_event.hpp>

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/error.hpp>
#include <galenabay/base/ring.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/base/token_bucket.hpp>
#include <galenabay/config/accepted_revision.hpp>
#include <galenabay/membership/host.hpp>
#include <galenabay/object_api/revision_store.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace galenabay::daemon
{

/// Requests a revision other than the one in force. Sent from the control thread, like every `platform_request`.
struct watch_request
{
    /// Number of the revision in force; only a different revision is reported.
    std::uint64_t after = 0;
    /// Longest time to wait for a different revision.
    base::duration wait{0};
};
/// Writes an object if it has the expected version.
struct write_request
{
    std::string key;
    std::string value;
    /// Version that the object must have; 0: it must not exist.
    std::uint64_t expected = 0;
};
struct read_request
{
    std::string key;
};
struct list_hosts_request
{
};
/// Lists the keys and versions of the objects whose keys start with `prefix`.
struct list_objects_request
{
    std::string prefix;
};
/// Removes an object if it has the expected version. Has no result event.
struct remove_request
{
    std::string key;
    std::uint64_t expected = 0;
};
using platform_request = std::variant<std::monostate, watch_request, write_request, read_request, list_hosts_request,
                                      list_objects_request, remove_request>;

/// Result of a `watch_request`. Sent to the control thread, like every `platform_event`.
struct revision_read
{
    std::shared_ptr<const config::accepted_revision> revision;
};
struct revision_unchanged
{
};
struct revision_failed
{
    base::error failure;
};
struct hosts_listed
{
    std::vector<membership::listed_host> hosts;
};
struct hosts_failed
{
    base::error failure;
};
struct object_written
{
    std::string key;
    /// New version; 0 when the write failed.
    std::uint64_t version = 0;
    std::optional<base::error> failure;
};
struct object_read
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    std::optional<base::error> failure;
};
struct objects_listed
{
    /// Keys and versions; empty when the call failed.
    std::vector<std::pair<std::string, std::uint64_t>> versions;
};
using platform_event = std::variant<std::monostate, revision_read, revision_unchanged, revision_failed, hosts_listed,
                                    hosts_failed, object_written, object_read, objects_listed>;

/// Body of a thread that makes blocking calls to the platform: receives requests and returns their results as events.
/// The process runs one for the long watch and one for all other calls.
class platform_worker
{
public:
    /// `calls_per_second`: call budget of this thread; calls beyond it are delayed.
    platform_worker(const base::endpoint& platform, std::uint32_t calls_per_second, metric_table& metrics,
                    const thread_state& state);

    /// Runs until `thread_state::stop` is set.
    void run();

    /// Queues a request. Returns false when the queue is full. Control thread only.
    bool submit(platform_request request);
    /// Removes the next event. Returns false when there is none. Control thread only.
    bool poll(platform_event& event) { return events_.pop(event); }

    /// Fails all calls while `partitioned` is true, to simulate a partition. Thread-safe.
    void set_partitioned(bool partitioned) { partitioned_.store(partitioned); }

private:
    void handle(const platform_request& request);
    void watch(const watch_request& request);
    void list_hosts();
    void list_objects(const list_objects_request& request);
    void remove(const remove_request& request);
    void write(const write_request& request);
    void read(const read_request& request);
    bool refuse_if_partitioned(const platform_request& request);
    void count_call(bool succeeded);
    void wait_for_budget();

    base::endpoint platform_;
    metric_table& metrics_;
    const thread_state& state_;
    std::atomic<bool> partitioned_{false};
    object_api::revision_store store_;
    base::token_bucket budget_;
    base::ring<platform_request> requests_;
    base::ring<platform_event> events_;
    net::wakeup_event wakeup_;
};

} // namespace galenabay::daemon
