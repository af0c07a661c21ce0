#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/random.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/peers/host_status.hpp>

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
    /// Number of hosts of a data centre that watch the store for the others. One is
    /// enough, since those of other data centres send their changes here, too.
    std::size_t followers_per_data_centre = 1;
    /// Time after its start before which a host does not watch the store: longer than the
    /// interval of statuses, so that it has received the status of a watcher if there is
    /// one.
    base::duration startup_wait = std::chrono::milliseconds{700};
    /// Time that a host waits for each candidate that ranks before it to take over the
    /// watch: longer than the interval of statuses.
    base::duration takeover_delay = std::chrono::milliseconds{600};
    /// Upper limit of the candidates to wait for: with it, `status_timeout` and
    /// `startup_wait`, a host takes over within the configuration bound of 3 s.
    std::size_t max_awaited_hosts = 2;
    /// Time without a status after which a host is not live: three statuses may be lost.
    base::duration status_timeout = std::chrono::milliseconds{1'600};
    /// Time for which the address of a silent host, and with it its entry in the store, is
    /// kept.
    base::duration address_retention = std::chrono::seconds{60};
};

/// The other hosts and their latest statuses. Does no I/O; not thread-safe.
///
/// Every host ranks the hosts of its data centre in the same order, so the one that
/// watches the store needs no election: a host watches while too few that rank before it
/// report that they do, and takes over after those before it had time to.
class peer_view
{
public:
    peer_view(std::string name, std::string data_centre, peer_options options = {});

    /// Records a status. Returns false when it is out of date or this host's own.
    bool on_status(const host_status& status, const base::endpoint& from, base::time_point now);
    /// Records a host that the store lists with its address.
    void on_listed(const std::string& name, const base::endpoint& address, base::time_point now);
    /// Removes hosts that were silent for `address_retention`. Returns their names when this
    /// host is the one to remove their entries from the store: it ranks first of the live
    /// hosts, and most hosts are live, so that it is not itself cut off.
    std::vector<std::string> expire(base::time_point now);

    /// Decides whether this host should watch the store; call it at each status interval.
    bool update_following(base::time_point now);

    /// Returns the addresses of the hosts of this data centre, or of all others. A host
    /// whose data centre is unknown is in both.
    std::vector<base::endpoint> addresses(bool own_data_centre) const;

    /// Returns a live host that has a newer configuration than `version`, selected at random
    /// so that many hosts do not read from the same one, from this data centre if possible;
    /// nullopt when there is none.
    std::optional<base::endpoint> with_newer_configuration(std::uint64_t version, base::random_source& random,
                                                           base::time_point now) const;
    /// Returns a live host that applied changes of the upstreams after `revision`, selected
    /// in the same way.
    std::optional<base::endpoint> with_newer_upstreams(std::uint64_t revision, base::random_source& random,
                                                       base::time_point now) const;

    /// Returns the sum of the live hosts' load on each upstream, with the time since the
    /// latest answer that any of them saw.
    std::unordered_map<steer::upstream_token, upstream_load> total_loads(base::time_point now) const;
    /// Number of live hosts that report an upstream as silent, and of those that could not
    /// connect to it.
    struct upstream_votes
    {
        std::size_t silent = 0;
        std::size_t unreachable = 0;
    };
    /// Returns the votes of the live hosts by upstream.
    std::unordered_map<steer::upstream_token, upstream_votes> votes(base::time_point now) const;

    /// Number of other hosts that are live.
    std::size_t live_count(base::time_point now) const;

private:
    struct peer
    {
        base::endpoint address;
        host_status status;
        base::time_point last_seen{};
        bool has_status = false;
    };

    bool is_live(const peer& other, base::time_point now) const;
    /// Calls `visit` with each live host.
    template <typename Visitor> void for_each_live(base::time_point now, Visitor visit) const;
    /// Returns a random live host that satisfies `is_wanted`, from this data centre if
    /// possible; nullopt when there is none.
    template <typename Predicate>
    std::optional<base::endpoint> select_peer(Predicate is_wanted, base::random_source& random,
                                              base::time_point now) const;

    /// Counts the live hosts of this data centre that are not leaving, rank before this one
    /// and satisfy `is_counted`.
    template <typename Predicate> std::size_t count_ranked_before(Predicate is_counted, base::time_point now) const;
    /// Returns true when no live host of any data centre ranks before this one.
    bool ranks_first(base::time_point now) const;

    std::string name_;
    std::string data_centre_;
    peer_options options_;
    std::unordered_map<std::string, peer> peers_;
    bool follows_ = false;
    std::optional<base::time_point> started_;
    /// When the number of hosts that watch fell below the required one.
    std::optional<base::time_point> too_few_followers_since_;
};

} // namespace galenabay::peers
