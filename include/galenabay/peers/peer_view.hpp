#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/random.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/peers/host_status.hpp>
#include <galenabay/peers/load_sums.hpp>
#include <galenabay/peers/load_table.hpp>
#include <galenabay/peers/watch_takeover.hpp>
#include <galenabay/steer/warm_up_shares.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenabay::peers
{

/// Times and limits of the exchange between hosts.
struct peer_options
{
    takeover_options takeover{};
    /// Time without a status after which a host is not live, in intervals of its statuses:
    /// three statuses may be lost.
    double status_timeout_intervals = 3.2;
    /// Interval of a host that does not name its own.
    base::duration default_interval = std::chrono::milliseconds{500};
    /// Time for which the address of a silent host, and with it its entry in the store, is
    /// kept.
    base::duration address_retention = std::chrono::seconds{60};
};

/// The other hosts and their latest statuses, which the hosts of one data centre send to one
/// another. Does no I/O; not thread-safe; owned by the `fleet_exchange`.
///
/// Every host ranks the hosts of its data centre in the same order, so the one that
/// watches the store needs no election: `watch_takeover` decides by its rank. The first hosts
/// by the same order collect the loads of the others.
class peer_view
{
public:
    peer_view(std::string name, std::string data_centre, peer_options options = {});

    /// Records a status. Returns false when it is out of date or this host's own.
    bool on_status(const host_status& status, const base::endpoint& from, base::time_point now);
    /// Returns a host's latest status; null when it sent none.
    const host_status* status_of(const std::string& name) const;
    /// Records a host that the store or another host lists; `data_centre` is empty when it
    /// is unknown. `in_store`: the store has an entry of the host. Returns true when the host
    /// was not known.
    bool on_listed(const member& listed, bool in_store, base::time_point now);
    /// Removes hosts that were silent for `address_retention`. Returns the names of those of
    /// this data centre that have an entry in the store when this host is the one to remove
    /// it: it ranks first of the live hosts, and most hosts are live, so that it is not itself
    /// cut off.
    std::vector<std::string> expire(base::time_point now);

    /// As `watch_takeover::update`.
    bool update_watch(bool is_served, base::time_point now);
    /// As in `watch_takeover`.
    bool take_store_check(base::time_point now) { return takeover_.take_check(now); }
    void on_store_checked(bool is_served, base::time_point now) { takeover_.on_checked(is_served, now); }
    bool is_turned_away() const noexcept { return takeover_.is_turned_away(); }

    /// Records that this host is about to stop: it has no rank any more.
    void set_leaving(bool leaving) noexcept { leaving_ = leaving; }
    /// Returns true when fewer than `count` live hosts of this data centre rank before this
    /// one, which is not leaving.
    bool ranks_among(std::size_t count, base::time_point now) const;
    /// Returns the number of live hosts of this data centre that rank before this one by a hash of
    /// their names and `key`, so that the first ranks are spread over the hosts; nullopt when this
    /// host is leaving.
    std::optional<std::size_t> rank_for(std::uint64_t key, base::time_point now) const;
    /// Returns the first `count` other live hosts of this data centre in the same order.
    std::vector<steer::share_holder> ranked_for(std::uint64_t key, std::size_t count, base::time_point now) const;
    /// Returns the addresses of those of the processes that are live in this data centre.
    std::vector<base::endpoint> addresses_of(const std::vector<steer::share_holder>& processes,
                                             base::time_point now) const;
    /// Returns the other hosts among the first `count` live ones of this data centre, by rank.
    std::vector<member> first_ranked(std::size_t count, base::time_point now) const;

    /// Returns the hosts of this data centre, silent ones and those whose data centre is
    /// unknown included.
    std::vector<member> local_members() const;
    /// Returns the known hosts of the other data centres.
    std::vector<member> remote_members() const;

    /// Returns a live host that has a newer configuration than `version`, selected at random
    /// so that many hosts do not read from the same one, from this data centre if possible;
    /// nullopt when there is none.
    std::optional<base::endpoint> with_newer_configuration(std::uint64_t version, base::random_source& random,
                                                           base::time_point now) const;
    /// Returns a live host that applied changes of the upstreams after `revision`, selected
    /// in the same way.
    std::optional<base::endpoint> with_newer_upstreams(const steer::store_revision& revision,
                                                       base::random_source& random, base::time_point now) const;

    /// Returns the largest revision up to which a live host of this data centre has applied
    /// the changes of the upstreams while it knows what `digest` describes; nullopt when none
    /// does.
    std::optional<steer::store_revision> upstreams_revision_of(std::uint64_t digest, base::time_point now) const;

    /// Adds the loads that live hosts of this data centre report to `totals`.
    void add_loads(load_totals& totals, base::time_point now) const;
    /// Number of live hosts of this data centre that report their loads to this one.
    std::uint32_t reporting_count(base::time_point now) const;
    /// Adds the demands that hosts of this data centre reported within `lifetime`.
    void add_demands(steer::demand_sum& sum, base::duration lifetime, base::time_point now) const;
    /// Adds the votes of the live hosts of this data centre to `votes`.
    void add_votes(vote_totals& votes, base::time_point now) const;
    /// Returns true when a live host of this data centre watches the store.
    bool has_follower(base::time_point now) const;

    /// Number of other hosts of this data centre that are live.
    std::size_t live_count(base::time_point now) const;

private:
    struct peer
    {
        base::endpoint address;
        /// Empty when unknown.
        std::string data_centre;
        host_status status;
        base::time_point last_seen{};
        bool has_status = false;
        /// The store has an entry of the host.
        bool in_store = false;
    };

    bool is_local(const peer& other) const { return other.data_centre == data_centre_; }
    bool is_live(const peer& other, base::time_point now) const;
    /// Calls `visit` with each live host of this data centre.
    template <typename Visitor> void for_each_live(base::time_point now, Visitor visit) const;
    /// Returns a random live host that satisfies `is_wanted`, from this data centre if
    /// possible; nullopt when there is none.
    template <typename Predicate>
    std::optional<base::endpoint> select_peer(Predicate is_wanted, base::random_source& random,
                                              base::time_point now) const;

    /// Returns what this host knows of the others, for `watch_takeover`.
    watch_view view_of_watch(base::time_point now) const;

    std::string name_;
    std::string data_centre_;
    peer_options options_;
    std::unordered_map<std::string, peer> peers_;
    watch_takeover takeover_;
    bool leaving_ = false;
};

} // namespace galenabay::peers
