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

struct member_settings
{
    std::string self;
    std::string data_centre;
    /// A peer that has been silent for this long counts as dead.
    base::duration peer_timeout{3'000'000};
    /// A gap between two ticks that is longer than this means that the process
    /// was paused.
    base::duration pause_limit{2'000'000};
    /// Reports of a peer that is neither listed nor heard are remembered for
    /// this long, so that late ones are recognised.
    base::duration report_retention{600'000'000};
};

/// Which hosts take part, as this host sees it.
///
/// Pure decision logic: time comes in, no I/O. Owned by one thread. A host is
/// live when its own report was heard within `peer_timeout`; the platform's
/// list only says whom to contact.
class member_view
{
public:
    explicit member_view(member_settings settings);

    /// A report heard from the peer itself. Reports that are older than one
    /// already seen (incarnation, then sequence) are ignored; returns false.
    bool on_report(const host_report& report, base::time_point now);

    /// The platform's list of hosts; replaces the previous list.
    void on_platform_list(std::span<const listed_host> hosts, base::time_point now);

    /// Advances time. Returns true when the process was paused since the last
    /// tick: every peer then counts as unheard until it reports again.
    bool on_tick(base::time_point now);

    /// Sets this host's own state.
    void set_self(const host_report& report);

    /// Ready hosts that decide, this host included when ready; sorted by name,
    /// the same on two hosts that hear the same peers.
    std::vector<live_host> deciding_hosts(base::time_point now) const;

    /// Ready hosts of one data centre, as `deciding_hosts`.
    std::vector<live_host> deciding_hosts(const std::string& data_centre, base::time_point now) const;

    /// Peers to exchange reports with: listed or heard before.
    std::vector<listed_host> contacts(base::time_point now) const;

    /// Reports of all live hosts, this host first.
    std::vector<host_report> reports(base::time_point now) const;

    /// Time since a peer was last heard; nullopt-like maximum when never.
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
