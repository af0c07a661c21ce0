#pragma once

#include "channels.hpp"
#include "metric_table.hpp"
#include "peer_link.hpp"
#include "peer_server.hpp"
#include "platform_worker.hpp"
#include "simulated_partition.hpp"
#include "status_reporter.hpp"
#include "thread_state.hpp"

#include <galenabay/base/random.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/config/host_settings.hpp>
#include <galenabay/config/revision_log.hpp>
#include <galenabay/membership/member_view.hpp>
#include <galenabay/revision/follower.hpp>

#include <kj/async-io.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace galenabay::daemon
{

/// Body of the control thread: exchanges heartbeats with peers, determines which hosts take part in decisions and which
/// revision is in force, and writes status to the platform.
class control_worker : private peer_handler
{
public:
    /// `platform_watch` makes the blocking watch calls and `platform_calls` all other calls to the platform. All
    /// references must outlive this object.
    control_worker(const config::host_settings& settings, std::uint64_t seed, channels& links, metric_table& metrics,
                   thread_state& state, platform_worker& platform_watch, platform_worker& platform_calls);
    ~control_worker() noexcept override;

    /// Runs until `thread_state::stop` is set.
    void run();

    /// Requests a reread of the test settings' files on the next tick. Thread-safe.
    void reload() { reload_.store(true); }

private:
    /// Logs tasks that fail; the tasks themselves handle the failures.
    class task_log final : public kj::TaskSet::ErrorHandler
    {
        void taskFailed(kj::Exception&& failure) override; // NOLINT(readability-identifier-naming)
    };

    /// Connection to one peer, its next heartbeat and the flow records queued for it.
    struct peer_entry
    {
        kj::Own<peer_link> link;
        base::time_point next_heartbeat{};
        /// True once an exchange with the peer has succeeded or failed.
        bool attempted = false;
        std::vector<flow::flow_record> records;
    };

    // peer_handler
    bool on_heartbeat(const membership::host_report& report, const std::vector<flow::flow_record>& records) override;
    membership::host_report own_report() override;
    std::vector<flow::flow_record> take_records(const std::string& host) override;
    const membership::host_report* last_report(const std::string& name) const override;
    std::vector<std::byte> update_since(std::uint64_t after) const override { return log_.update_since(after); }
    std::uint64_t revision_number() const override;
    std::vector<membership::host_report> known_reports() const override;

    kj::Promise<void> accept_loop(kj::ConnectionReceiver& receiver, capnp::TwoPartyServer& server);

    void tick(base::time_point now);
    void take_platform_events(base::time_point now);
    void handle(const platform_event& event, base::time_point now);
    void carry_out(const revision::actions& decided, base::time_point now);
    void adopt(base::time_point now);
    void fetch_from_peer(const std::string& host, std::uint64_t after);
    void request_host_list(base::time_point now);

    void remove_unlisted_hosts(base::time_point now);
    void update_peers(base::time_point now);
    void send_heartbeats(base::time_point now);
    void send_heartbeat(const std::string& name, peer_entry& peer, base::time_point now);
    void handle_report(const membership::host_report& report, const std::vector<flow::flow_record>& records);
    bool initiates_heartbeat(const std::string& name, base::time_point now) const;
    void take_outgoing_records();

    void update_self(base::time_point now);
    void publish_hosts(base::time_point now);
    void update_watch_role(const std::vector<membership::live_host>& hosts);
    void publish_listed_hosts(base::time_point now);
    void handle_pauses(base::time_point now);
    void apply_partition(base::time_point now);
    void begin_leaving(base::time_point now);
    bool is_startup_complete(base::time_point now) const;
    bool has_attempted_peers(base::time_point now) const;

    config::host_settings settings_;
    channels& links_;
    metric_table& metrics_;
    thread_state& state_;
    platform_worker& platform_watch_;
    platform_worker& platform_calls_;
    base::random_source random_;
    membership::member_view members_;
    revision::follower follower_;
    status_reporter status_;
    membership::host_report self_;
    config::revision_log log_;
    /// Last revision added to `log_`.
    config::accepted_revision previous_;
    std::vector<membership::live_host> published_hosts_;
    std::vector<membership::listed_host> published_list_;
    std::map<std::string, peer_entry> peers_;
    /// Last accepted report of each host, by host name.
    std::map<std::string, membership::host_report> last_reports_;
    simulated_partition partition_;
    std::shared_ptr<const blocked_addresses> published_blocked_;
    std::atomic<bool> reload_{true};
    base::time_point started_{};
    base::time_point next_list_{};
    bool host_list_received_ = false;
    bool leaving_ = false;
    /// Number of the pause from which this thread is recovering; 0 if none.
    std::uint64_t open_pause_ = 0;
    /// Value of `thread_state::pauses` that this thread has handled.
    std::uint64_t handled_pauses_ = 0;
    base::time_point pause_noticed_{};
    /// True when a peer's report was received after the pause was noticed.
    bool report_since_pause_ = false;

    kj::AsyncIoContext* io_ = nullptr;
    task_log task_log_;
    kj::Own<kj::TaskSet> tasks_;
};

} // namespace galenabay::daemon
