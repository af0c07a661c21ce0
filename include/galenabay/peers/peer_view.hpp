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

/// Times and numbers of the exchange between hosts.
struct peer_options
{
    /// Hosts of a data centre that watch the store for all. The watchers of other
    /// data centres tell this one too, so one is enough.
    std::size_t followers_per_data_centre = 1;
    /// After its start a host listens for so long before it watches: longer than the
    /// interval of statuses, so that it has heard a watcher if there is one.
    base::duration startup_wait = std::chrono::milliseconds{700};
    /// How long a host that could watch is waited for before the next one does: longer
    /// than the interval of statuses.
    base::duration takeover_delay = std::chrono::milliseconds{600};
    /// Hosts that are waited for at most: with `status_timeout` and `startup_wait` a
    /// vacancy ends within the 3 s of the configuration bound.
    std::size_t max_awaited_hosts = 2;
    /// Three statuses may be lost before a host counts as silent.
    base::duration status_timeout = std::chrono::milliseconds{1'600};
    /// How long the address of a silent host is kept, and with it its entry in the store.
    base::duration address_retention = std::chrono::seconds{60};
};

/// Which hosts there are and what they said last. Pure; not thread-safe.
///
/// Every host ranks the hosts of its data centre in the same way, so that the one
/// that watches the store needs no election: a host watches while too few that rank
/// before it say that they do, and begins when those before it have had their turn.
class peer_view
{
public:
    peer_view(std::string name, std::string data_centre, peer_options options = {});

    /// False when the status is old or this host's own.
    bool on_status(const host_status& status, const base::endpoint& from, base::time_point now);
    /// The store names a host and its address.
    void on_listed(const std::string& name, const base::endpoint& address, base::time_point now);
    /// Forgets hosts that have been silent for long. Returns their names when their
    /// entries are this host's to remove: it ranks first of the live hosts, and hears
    /// most of those that it knows, so that it isn't itself cut off.
    std::vector<std::string> expire(base::time_point now);

    /// Decides anew whether this host should watch the store.
    bool update_following(base::time_point now);

    /// Addresses of the hosts of this data centre, or of all others. A host whose data
    /// centre is unknown belongs to both.
    std::vector<base::endpoint> addresses(bool own_data_centre) const;

    /// A live host that has a newer configuration than `version`, drawn from those of
    /// the own data centre if there are any, so that many hosts don't ask the same one.
    std::optional<base::endpoint> with_newer_configuration(std::uint64_t version, base::random_source& random,
                                                           base::time_point now) const;
    /// A live host that applied changes of the upstreams after `revision`; drawn likewise.
    std::optional<base::endpoint> with_newer_upstreams(std::uint64_t revision, base::random_source& random,
                                                       base::time_point now) const;

    /// Sum of what the live hosts put on each upstream, with the latest answer that any
    /// of them saw.
    std::unordered_map<steer::upstream_token, upstream_load> total_loads(base::time_point now) const;
    /// How many live hosts call an upstream silent, and how many could not connect to it.
    struct upstream_votes
    {
        std::size_t silent = 0;
        std::size_t unreachable = 0;
    };
    std::unordered_map<steer::upstream_token, upstream_votes> votes(base::time_point now) const;

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
    /// Passes each live host to `visit`.
    template <typename Visitor> void for_each_live(base::time_point now, Visitor visit) const;
    template <typename Predicate>
    std::optional<base::endpoint> select_peer(Predicate is_wanted, base::random_source& random,
                                              base::time_point now) const;

    /// Live hosts of this data centre that stay and rank before this one.
    template <typename Predicate> std::size_t count_ranked_before(Predicate is_counted, base::time_point now) const;
    bool ranks_first(base::time_point now) const;

    std::string name_;
    std::string data_centre_;
    peer_options options_;
    std::unordered_map<std::string, peer> peers_;
    bool follows_ = false;
    std::optional<base::time_point> started_;
    /// Since when too few hosts watch.
    std::optional<base::time_point> too_few_followers_since_;
};

} // namespace galenabay::peers
