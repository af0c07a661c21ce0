#pragma once

#include <galenabay/base/random.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/peers/load_sums.hpp>
#include <galenabay/peers/load_table.hpp>
#include <galenabay/peers/message_codec.hpp>
#include <galenabay/peers/peer_view.hpp>
#include <galenabay/peers/upstream_changes.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <ranges>
#include <string>
#include <vector>

namespace galenabay::peers
{

/// Times and limits of the `fleet_exchange`.
struct exchange_options
{
    peer_options peers{};
    /// Hosts of a data centre that collect loads: the second one has the same sums when the
    /// first one fails.
    std::size_t collectors = 2;
    /// Shortest interval of statuses to collectors, and the interval to all hosts of the data
    /// centre from a host that collects, watches the store or has evidence against an upstream.
    base::duration status_interval = std::chrono::milliseconds{500};
    /// The other hosts send a status to the collectors after this time for each of them, so
    /// that a collector receives a bounded number of statuses a second.
    base::duration collector_spacing = std::chrono::milliseconds{8};
    /// Other hosts send a status to the hosts of the data centre after this time for each of
    /// them, so that a host receives a bounded number of statuses a second.
    base::duration status_spacing = std::chrono::milliseconds{30};
    /// Upper limit of that interval.
    base::duration longest_status_interval = std::chrono::seconds{5};
    /// Interval of summaries and digests, each with one page of loads.
    base::duration page_interval = std::chrono::milliseconds{500};
    /// A collector's digests take at most this many bytes a second; their interval grows
    /// with the number of hosts instead.
    std::size_t digest_bytes_per_second = 128U << 10U;
    /// Shortest time between two summaries or digests that new evidence causes.
    base::duration urgent_interval = std::chrono::milliseconds{300};
    /// Time for which a load that another collector reported is used: a full turn of the
    /// pages of some hundred upstreams, and one lost page.
    base::duration load_lifetime = std::chrono::milliseconds{4'500};
    /// Time for which a host that has begun or ceased to watch the store sends statuses to all hosts of the data centre
    /// at the shortest interval: some of them may be lost.
    base::duration watch_change_time = std::chrono::milliseconds{2'000};
    /// Time for which a host that begins to collect still uses the digests of the other
    /// collectors, until the summaries of the other data centres reach it.
    base::duration handover_time = std::chrono::milliseconds{2'500};
    /// Time for which votes and collectors from a summary or digest count: three of them may
    /// be lost.
    base::duration report_lifetime = std::chrono::milliseconds{3'000};
    /// Time for which the demand of another data centre is used: two reports may be lost. A sum
    /// for the whole fleet without that data centre is better than one that is older.
    base::duration demand_lifetime = std::chrono::milliseconds{1'600};
    /// Time for which a host that has started looks for others, and the interval at which it
    /// asks those that it can reach.
    base::duration joining_time = std::chrono::seconds{3};
    /// Interval at which a host that has no live other host asks again.
    base::duration rejoin_interval = std::chrono::seconds{1};
    /// Time without a summary or digest of its own after a pause of the process, in which the
    /// statuses that were queued meanwhile are replaced by current ones.
    base::duration pause_quarantine = std::chrono::milliseconds{1'000};
    /// Time for which a host collects or watches before the store lists it: a host that has not yet found the others
    /// does both for a moment, too.
    base::duration registration_delay = std::chrono::seconds{2};
    /// Loads in a status or a page: with 11 bytes each they fit into a datagram of 1,400
    /// bytes.
    std::size_t max_loads = 96;
    /// The same when any of them has answer times, which take one or two bytes more each.
    std::size_t max_timed_loads = 88;
    /// Votes in a summary or digest.
    std::size_t max_votes = 16;
    /// Members in an answer to a joining host, and in a digest.
    std::size_t max_members = 20;
    /// Bytes of the host names in a list of processes that share a rate.
    std::size_t max_holder_bytes = 800;
    std::size_t digest_members = 2;
};

/// A message and the hosts that it goes to.
struct outgoing_message
{
    message content;
    std::vector<base::endpoint> to;
};

/// Exchange of statuses, loads and evidence between all hosts. Does no I/O: messages and the
/// time are arguments, and messages to send are results. Not thread-safe; owned by the packet
/// thread.
///
/// A host sends its loads to the collectors of its data centre only: the first live hosts by
/// the order of `peer_view`, which needs no election. A collector sends the sum for its data
/// centre to one collector of each other one in turn, and the sum for all of them to the
/// hosts of its data centre, a page of the upstreams at a time. A host without a live
/// collector steers by what it sees itself.
class fleet_exchange
{
public:
    /// Identifies this host to the others.
    struct identity
    {
        std::string name;
        std::string data_centre;
        /// Start of the process in microseconds of Unix time.
        std::uint64_t started_us = 0;
        /// Where this host receives the messages of the others.
        base::endpoint address;
    };

    /// `seeds`: addresses of hosts that may know others.
    fleet_exchange(identity self, std::vector<base::endpoint> seeds, exchange_options options, std::uint64_t seed);

    /// Effects of a message.
    struct effects
    {
        std::vector<outgoing_message> messages;
        /// Loads, votes, versions or the set of live hosts may have changed.
        bool view_changed = false;
        /// Changes of the upstreams to apply.
        std::optional<upstream_changes> changes;
        /// Evacuations that the message contains, to adopt unless a newer set is known.
        std::optional<steer::evacuation_set> evacuations{};
        /// Processes that share the rate of a starting upstream.
        std::optional<steer::warm_up_shares> shares{};
    };

    /// Records a host that the store lists.
    void on_listed(const member& listed, base::time_point now);
    /// Applies a message of another host.
    effects on_message(const message& received, const base::endpoint& from, base::time_point now);
    /// Records that the process did not run for a while: sums of before are not used.
    void on_pause(base::time_point now);

    /// Returns true when `on_tick` has messages to send.
    bool is_due(base::time_point now) const { return now >= next_status_ || now >= next_page_; }
    /// Returns the messages that are due. `own`: this host's status with its loads; the fields
    /// that identify the host and the message are filled in here.
    std::vector<outgoing_message> on_tick(const host_status& own, base::time_point now);
    /// Returns a status for all hosts of the data centre, because of new evidence or a new
    /// configuration.
    std::vector<outgoing_message> on_urgent(const host_status& own, base::time_point now);
    /// Returns the datagrams with changes that this host read from the store: to the hosts of
    /// the data centre, and to a collector of each one where no host can read the store.
    std::vector<outgoing_message> on_changes(const upstream_changes& changes, base::time_point now) const;

    /// As in `peer_view`.
    bool update_watch(bool is_served, base::time_point now) { return peers_.update_watch(is_served, now); }
    bool take_store_check(base::time_point now) { return peers_.take_store_check(now); }
    void on_store_checked(bool is_served, base::time_point now) { peers_.on_store_checked(is_served, now); }
    bool is_turned_away() const noexcept { return peers_.is_turned_away(); }
    std::vector<std::string> expire(base::time_point now) { return peers_.expire(now); }

    /// As in `peer_view`.
    bool has_follower(base::time_point now) const { return peers_.has_follower(now); }

    /// Returns true when this host collects the loads of its data centre.
    bool collects() const noexcept { return collects_; }
    /// Returns true when this host has collected or watched the store for `registration_delay`, so that the store
    /// should list it: other hosts find the fleet through the listed ones. The store may turn away all collectors.
    bool should_register(base::time_point now) const;
    /// Number of other live hosts in all data centres.
    std::size_t live_count(base::time_point now) const;
    /// Number of hosts whose loads `remote_loads` adds up, for metrics.
    std::uint32_t covered_hosts(base::time_point now) const;

    /// Returns a live host with a newer configuration, or newer upstreams; as in `peer_view`,
    /// and for a collector the collectors of other data centres, too.
    std::optional<base::endpoint> with_newer_configuration(std::uint64_t version, base::time_point now);
    std::optional<base::endpoint> with_newer_upstreams(const steer::store_revision& revision, base::time_point now);

    /// As in `peer_view`.
    std::optional<steer::store_revision> upstreams_revision_of(std::uint64_t digest, base::time_point now) const
    {
        return peers_.upstreams_revision_of(digest, now);
    }

    /// As in `peer_view`.
    std::optional<std::size_t> rank_for(std::uint64_t key, base::time_point now) const
    {
        return peers_.rank_for(key, now);
    }
    /// Returns this process and, in the order of `rank_for`, other ones of this data centre: at most
    /// `count` with names of at most `max_holder_bytes`, so that the list fits into a datagram.
    std::vector<steer::share_holder> holders_for(std::uint64_t key, std::size_t count, base::time_point now) const;
    /// As in `peer_view`.
    std::vector<member> remote_members() const { return peers_.remote_members(); }
    /// Returns the address of a process of this data centre, or nothing when it is not live.
    std::optional<base::endpoint> address_of(const steer::share_holder& process, base::time_point now) const
    {
        const auto known = peers_.addresses_of({process}, now);
        return known.empty() ? std::nullopt : std::optional{known.front()};
    }
    /// Returns the datagram with a list of this host for the other processes in it.
    outgoing_message on_shares(const steer::warm_up_shares& shares, base::time_point now) const
    {
        return {.content = shares, .to = peers_.addresses_of(shares.holders, now)};
    }

    /// Returns the sum of the other hosts' load on each upstream, with the time since the
    /// latest answer that any of them saw.
    load_totals remote_loads(base::time_point now) const;
    /// Returns the demand for each service through all hosts, this one included; empty without a
    /// report of a live collector. `age` of each sum grows until the next report.
    std::optional<steer::fleet_demand> demands(base::time_point now) const;
    /// Returns the number of other hosts with evidence against each upstream.
    vote_totals votes(base::time_point now) const;

private:
    /// A collector that sent a summary or digest.
    struct known_collector
    {
        collector_stamp stamp;
        base::time_point last_seen{};
        bool follows_store = false;
        std::uint64_t configuration_version = 0;
        steer::store_revision upstreams_revision;
    };
    /// What the collectors of one data centre report.
    struct reported_sums
    {
        std::map<std::string, known_collector> collectors;
        load_table loads;
        std::vector<upstream_votes> votes;
        base::time_point votes_at{};
        /// Demand of the data centre that reports, and of all others; the latter in digests only.
        steer::demand_sum demands;
        steer::demand_sum remote_demands;
        base::time_point demands_at{};
    };

    /// Returns true when other collectors' digests describe the fleet better than what this
    /// host receives itself.
    bool relies_on_digests(base::time_point now) const;
    /// Records hosts that the store or another host lists.
    void learn(const std::vector<member>& listed, bool in_store, base::time_point now);
    bool is_live(const known_collector& collector, base::time_point now) const;
    /// Records the sender. Returns null when the message is out of date or its sender knows
    /// less than half of the hosts that another live collector knows.
    known_collector* accept(reported_sums& sums, const collector_stamp& stamp, base::time_point now) const;
    /// Applies a page and votes of an accepted sender. Returns true when votes changed.
    static bool apply(reported_sums& sums, const load_page& page, const std::vector<upstream_votes>& votes,
                      base::time_point now);

    effects on_content(const message& received, const base::endpoint& from, base::time_point now);
    effects on_status(const host_status& status, const base::endpoint& from, base::time_point now);
    effects on_summary(const load_summary& summary, base::time_point now);
    /// Passes a summary on to a collector: its sender knows none of this data centre yet.
    effects relay(const load_summary& summary, base::time_point now) const;
    effects on_digest(const load_digest& digest, base::time_point now);
    effects on_changes_received(const upstream_changes& changes);
    /// Splits changes into datagrams of a bounded number of entries.
    std::vector<outgoing_message> split(upstream_changes changes, const std::vector<base::endpoint>& to) const;
    /// Returns a collector of each data centre where no host can read the store.
    std::vector<base::endpoint> collectors_without_store(base::time_point now) const;
    /// Returns the hosts that a joining host of `data_centre` needs: those of its own data
    /// centre and some of each other one.
    std::vector<outgoing_message> answer_joining(const std::string& data_centre, const base::endpoint& from) const;
    /// Makes the next summary and digest due, unless the last ones are too recent.
    void expedite(base::time_point now);

    /// Decides whether this host collects; a leaving one hands over at once.
    void update_role(const host_status& own, base::time_point now);
    bool is_joining(base::time_point now) const;
    base::duration status_interval(const host_status& own, base::time_point now) const;
    /// Interval of statuses to collectors; at most `interval`, the one to all hosts.
    base::duration collector_interval(base::duration interval, base::time_point now) const;
    base::duration page_interval(base::time_point now) const;
    /// Fills in the fields of a status that identify it.
    host_status stamped(const host_status& own, base::time_point now);
    /// Returns the number of loads that fit into a datagram; less when there are answer times.
    template <std::ranges::input_range Loads> std::size_t max_loads(const Loads& loads) const;
    /// Adds the heaviest loads to a status.
    host_status with_loads(host_status status) const;
    /// Returns the status with loads for the collectors and the one without for the others.
    void add_statuses(const host_status& own, bool to_all, std::vector<outgoing_message>& out, base::time_point now);
    /// Returns a status that asks for other hosts.
    void add_joining(const host_status& own, std::vector<outgoing_message>& out, base::time_point now);
    void add_summaries(const host_status& own, std::vector<outgoing_message>& out, base::time_point now);
    void add_digest(std::vector<outgoing_message>& out, base::time_point now);
    collector_stamp make_stamp(base::time_point now);
    /// Returns one host for a summary by data centre: a live collector, or any known host.
    std::vector<base::endpoint> summary_targets(base::time_point now);
    /// Live collectors of the other data centres, or nullopt, where `is_wanted` holds.
    template <typename Predicate>
    std::optional<base::endpoint> select_collector(Predicate is_wanted, base::time_point now);
    /// Number of live hosts that the collectors of a data centre report.
    std::uint32_t hosts_of(const reported_sums& sums, base::time_point now) const;
    std::uint32_t remote_hosts(base::time_point now) const;
    /// Demand of this data centre and of the others as this host collects it.
    steer::fleet_demand collected_demands(base::time_point now) const;
    /// Votes of the hosts of other data centres, for a collector.
    vote_totals remote_votes(base::time_point now) const;

    identity self_;
    std::vector<base::endpoint> seeds_;
    exchange_options options_;
    base::random_source random_;
    peer_view peers_;
    bool collects_ = false;
    base::time_point collects_since_{};
    /// `host_status::follows_store` of this host's last status, and when it changed.
    bool follows_store_ = false;
    std::optional<base::time_point> watch_changed_at_;
    std::optional<base::time_point> started_;
    std::uint64_t sequence_ = 0;
    /// Number of summaries sent; selects the next collector of each data centre.
    std::uint64_t summaries_sent_ = 0;
    /// Evacuations of this host's last status.
    std::optional<steer::evacuation_set> evacuations_;
    /// Loads that this host last reported, which the sums of collectors contain.
    std::vector<upstream_load> reported_loads_;
    /// Demand that this host last reported, for its own sum.
    std::vector<service_demand> reported_demands_;
    /// Sums of the other data centres, by data centre.
    std::map<std::string, reported_sums> summaries_;
    /// Sums for the whole fleet from the collectors of this data centre.
    reported_sums digests_;
    std::uint32_t digest_remote_hosts_ = 0;
    page_cursor summary_cursor_;
    page_cursor digest_cursor_;
    base::time_point next_status_{};
    base::time_point next_status_to_all_{};
    base::time_point next_joining_{};
    base::time_point next_page_{};
    base::time_point last_expedited_{};
    base::time_point quarantine_until_{};
};

} // namespace galenabay::peers
