#pragma once

#include "flow_fleet.hpp"
#include "revision_maker.hpp"
#include "seed_arguments.hpp"

#include <cstdint>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace galenabay::bench
{

/// Totals over all seeds of a program. Plain value.
struct counts
{
    std::uint64_t packets = 0;
    std::uint64_t flows = 0;
    std::uint64_t relayed = 0;
    std::uint64_t changes = 0;
    std::uint64_t host_faults = 0;
    std::uint64_t upstream_faults = 0;
    std::uint64_t refused = 0;
    /// Flows that broke while every host that had forwarded them was down or paused.
    std::uint64_t orphans = 0;
    /// Flows whose upstream was removed and is no longer in the lineage.
    std::uint64_t ended = 0;
    std::uint64_t violations = 0;
};

/// A flow of a caller and what the checks know of it.
struct open_flow
{
    base::endpoint caller;
    base::endpoint address;
    std::string service;
    base::endpoint upstream;
    bool established = false;
    bool forwarded = false;
    base::time_point send_at{};
    std::uint64_t gap_ms = 1000;
    int consecutive_refusals = 0;
    /// Hosts that forwarded a packet of the flow, with their incarnation and the time.
    std::map<std::size_t, std::pair<std::uint32_t, base::time_point>> forwarding_hosts;
};

/// Kinds of changes and faults; the values are the bits of `torture_options::event_kinds`.
enum class event : unsigned
{
    change,
    two_changes,
    kill_host,
    replace_host,
    pause_host,
    fail_upstream,
    flap_upstream,
    move_address,
};

/// Run of one seed: a fleet, its flows, and the faults and changes that are injected.
/// Counts into `total`; prints each violation.
class torture_run
{
public:
    torture_run(std::uint64_t seed, const torture_options& options, counts& total);
    void run();

private:
    static constexpr base::duration second{1'000'000};
    static constexpr base::duration max_adoption_delay = 10 * second;

    static fleet_settings make_fleet_settings(std::uint64_t seed);
    static std::vector<config::service> make_services();
    void record_owners();
    static base::endpoint caller_of(std::uint64_t number);
    open_flow make_flow();
    void send(open_flow& flow);
    /// Returns false on a violation, and when the flow moved for a permitted reason.
    bool check_delivery(const open_flow& flow, const delivery& result);
    void end_refused_flow(open_flow& flow, const delivery& result);
    bool has_live_record(const open_flow& flow) const;
    void violation(const char* violated_rule, const open_flow& flow, const delivery& result);
    void inject_event();

    template <typename... Values> void trace(const char* format, Values... values) const
    {
        if (options_.trace)
        {
            std::printf("  %lld ", static_cast<long long>(fleet_.now().time_since_epoch().count() / 1000));
            std::printf(format, values...);
            std::printf("\n");
        }
    }

    void change();
    /// Gives one service a new address; the other may get the old one.
    void move_address();
    void toggle_draining(const config::service& service, config::upstream& chosen);
    void remove_draining_upstream(config::service& service);
    void record_listed_upstreams();
    void publish();
    std::size_t running_hosts() const;
    void kill_host();
    void replace_host();
    void pause_host();
    void fail_upstream();
    void flap_upstream();
    void restart_due_hosts();

    std::uint64_t seed_;
    torture_options options_;
    counts& total_;
    base::random_source random_;
    flow_fleet fleet_;
    revision_maker revisions_;
    std::map<base::endpoint, std::string> owners_;
    /// The revision that started to drain each upstream.
    std::map<base::endpoint, std::uint64_t> draining_since_;
    /// Upstreams in the newest revision and its lineage.
    std::set<base::endpoint> listed_upstreams_;
    std::set<base::endpoint> failed_upstreams_;
    std::set<base::endpoint> ever_failed_upstreams_;
    std::set<std::size_t> leaving_hosts_;
    std::multimap<base::time_point, std::size_t> restarts_;
    std::vector<open_flow> flows_;
    base::time_point next_event_{};
    std::uint32_t last_caller_ = 0;
    std::uint32_t last_upstream_ = 0;
    std::uint32_t last_port_ = 0;
    base::time_point addresses_in_force_at_{};
};

} // namespace galenabay::bench
