#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/membership/host.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace galenabay::membership
{

/// Settings of a `member_view`, fixed at its construction.
struct member_settings
{
    std::string self;
    std::string data_centre;
    /// A peer that has sent no report for this long counts as dead.
    base::duration peer_timeout{3'000'000};
    /// A gap between two ticks that is longer than this means that the process
    /// was paused.
    base::duration pause_limit{2'000'000};
    /// Last reports of peers that are neither listed nor live are kept for this
    /// long, so that older reports that arrive late are recognised.
    base::duration report_retention{600'000'000};
};

/// The live hosts of the deployment, as seen by this host.
///
/// A host is live when its own report arrived within `peer_timeout`; the
/// platform's list only names the hosts to contact. Pure decision logic: time is
/// an input, and it performs no I/O. Used by one thread only.
class member_view
{
public:
    explicit member_view(member_settings settings);

    /// Records a report received from the peer itself. Ignores a report that isn't
    /// newer (incarnation, then sequence) than the last one, and returns false.
    bool on_report(const host_report& report, base::time_point now);

    /// Replaces the platform's list of hosts.
    void on_platform_list(std::span<const listed_host> hosts, base::time_point now);

    /// Advances time. Returns true when the process was paused since the last
    /// tick: no peer then counts as live until it reports again.
    bool on_tick(base::time_point now);

    /// Sets this host's own report.
    void set_self(const host_report& report);

    /// Returns the ready live hosts, this host included when ready, sorted by name.
    /// Two hosts that receive reports from the same peers get the same result.
    std::vector<live_host> deciding_hosts(base::time_point now) const;

    /// As above, for the hosts of one data centre.
    std::vector<live_host> deciding_hosts(const std::string& data_centre, base::time_point now) const;

    /// Returns the peers to exchange reports with: live ones and listed ones.
    std::vector<listed_host> contacts(base::time_point now) const;

    /// Returns the reports of all live hosts, this host's first.
    std::vector<host_report> reports(base::time_point now) const;

    /// Returns the time since a peer's last report; `duration::max()` when it has
    /// never sent one.
    base::duration report_age(const std::string& name, base::time_point now) const;

private:
    struct member
    {
        host_report report;
        base::time_point last_report_at{};
        bool has_reported = false;
        bool listed = false;
        listed_host row;
    };

    bool is_live(const member& peer, base::time_point now) const;
    bool is_expired(const member& peer, base::time_point now) const;

    member_settings settings_;
    host_report self_;
    std::map<std::string, member> members_;
    base::time_point last_tick_{};
    bool ticked_ = false;
};

} // namespace galenabay::membership
