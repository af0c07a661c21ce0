#pragma once

#include <galenabay/base/random.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/membership/host.hpp>
#include <galenabay/revision/status_document.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace galenabay::revision
{

/// A host of any data centre, with the last report that this host received.
struct observed_host
{
    membership::host_report report;
    /// Time since the report was received; 0 for this host.
    base::duration report_age{0};
};

/// Read the status object of this data centre and call `on_status_read`.
struct read_status
{
    std::string key;
};

/// Write the document when the object's version is `expected` (0: does not
/// exist), then call `on_status_written`.
struct write_status
{
    std::string key;
    status_document document;
    std::uint64_t expected = 0;
};

/// List keys and versions below `status_prefix` and call `on_status_list`.
struct list_statuses
{
};

/// Remove an object that is no longer refreshed, if its version is `expected`.
struct remove_status
{
    std::string key;
    std::uint64_t expected = 0;
};

using status_action = std::variant<read_status, write_status, list_statuses, remove_status>;
using status_actions = std::vector<status_action>;

/// Result of a conditional write of a status document.
enum class write_result
{
    written,
    /// The object has another version than the expected one.
    conflict,
    /// No answer, or the platform is not reachable.
    unknown,
};

/// Settings of a `status_aggregator`, fixed at its construction.
struct aggregator_settings
{
    std::string self;
    std::string data_centre;
    std::uint64_t incarnation = 0;
    std::uint64_t seed = 1;
    /// Shortest time between two writes.
    base::duration write_interval{500'000};
    /// Longest time between two writes of the elected writer.
    base::duration refresh_interval{5'000'000};
    /// A host that has sent no report for this long is written as silent.
    base::duration report_timeout{3'000'000};
    /// A host that has sent no report for this long is dropped from the document.
    base::duration drop_after{60'000'000};
    /// Time between two checks for abandoned documents.
    base::duration cleanup_interval{60'000'000};
    /// A document whose version has not changed for this long, of a data centre
    /// without a live host, is removed.
    base::duration abandoned_after{600'000'000};
    /// A longer gap between two ticks means that the process was paused.
    base::duration pause_limit{2'000'000};
};

/// Writes the status of a data centre's hosts as one object, so that a change
/// costs the platform a few writes per data centre, not one per host.
///
/// The writer is the first host in rendezvous order among the hosts of the data
/// centre that are live and reach the platform. Each write is conditional on the
/// version that the writer read or wrote last: a writer that was paused while
/// another took over gets a conflict and cannot overwrite. If no host of a data
/// centre reaches the platform, the document of another data centre, selected by
/// rendezvous hashing, includes its hosts. Pure decision logic without I/O; used
/// by one thread only.
class status_aggregator
{
public:
    explicit status_aggregator(aggregator_settings settings);

    /// Sets the hosts and their last reports, this host included; elects the
    /// writer again.
    void on_hosts(std::span<const observed_host> hosts, base::time_point now);

    /// Handles the answer to `read_status`. `writer`: writer of the document that
    /// was read, empty when there is none.
    void on_status_read(std::uint64_t version, const std::string& writer, base::time_point now);
    /// Handles a failed `read_status`.
    void on_read_failure(base::time_point now);
    /// Handles the answer to `write_status`. `version`: the new version when
    /// written.
    void on_status_written(write_result result, std::uint64_t version, base::time_point now);
    /// Handles the answer to `list_statuses`: keys and versions.
    status_actions on_status_list(std::span<const std::pair<std::string, std::uint64_t>> versions,
                                  base::time_point now);

    /// Starts the calls that are due. Call at least every 200 ms.
    status_actions on_tick(base::time_point now);

    /// Returns true when this host writes the status of its data centre.
    bool is_writer() const;

private:
    struct seen_version
    {
        std::uint64_t version = 0;
        base::time_point since{};
    };
    struct known_host
    {
        host_status status;
        base::time_point last_report_at{};
    };

    std::string key() const;
    void update_reachability(std::span<const observed_host> hosts);
    std::string elect_writer(std::span<const observed_host> hosts) const;
    /// Returns true when this data centre's document includes the hosts of
    /// `data_centre`.
    bool reports_for(const std::string& data_centre) const;
    std::vector<host_status> document_hosts(base::time_point now);
    void add_write(base::time_point now, status_actions& out);
    base::duration jitter(base::duration longest);

    aggregator_settings settings_;
    base::random_source random_;
    std::map<std::string, known_host> known_;
    std::map<std::string, std::size_t> live_per_data_centre_;
    /// Data centres with a live host that reaches the platform.
    std::set<std::string> connected_data_centres_;
    std::string writer_;
    /// Version that the next write expects; unknown until this host, as writer,
    /// has read the object.
    std::optional<std::uint64_t> version_;
    bool call_in_flight_ = false;
    std::vector<host_status> written_;
    std::optional<base::time_point> written_at_;
    base::time_point not_before_{};
    base::time_point next_cleanup_{};
    bool conflicted_ = false;
    std::map<std::string, seen_version> listed_versions_;
    std::optional<base::time_point> last_tick_;
};

} // namespace galenabay::revision
