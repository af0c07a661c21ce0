#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/steer/upstream_entry.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenabay::steer
{

/// How a registration changed what is believed of an upstream.
enum class upstream_change
{
    none,
    added,
    updated,
    /// The same id, started again: flows of the earlier incarnation are lost.
    restarted,
    missing,
    /// Missing for longer than a live upstream needs to register again.
    ended,
};

/// Stable lower-case name of a change, as written to logs.
const char* name_of(upstream_change change);

/// One start of an upstream, with what its flows through this host show.
struct upstream_incarnation
{
    upstream_entry entry;
    upstream_token token = 0;
    /// When the upstream stops being slow after its start.
    base::time_point warm_at{};
    /// Since when the store lists it no longer.
    std::optional<base::time_point> missing_since;
    /// No flow of this incarnation can go on.
    bool ended = false;
    base::time_point ended_at{};

    /// Open flows through this host.
    std::uint32_t flows = 0;
    /// Flows through this host whose last request has no complete answer.
    std::uint32_t open_requests = 0;
    /// Load that the other hosts report: their flows and open requests.
    std::uint32_t remote_flows = 0;
    std::uint32_t remote_requests = 0;
    /// Last time that a flow through another host showed an answer, as far as known.
    base::time_point remote_progress{};

    /// Last time that a flow showed an answer from the upstream.
    base::time_point last_progress{};
    /// Packets sent again by callers since then.
    std::uint32_t retransmissions = 0;
    /// Opening packets without an answer since then.
    std::uint32_t unanswered_syns = 0;
    /// This host's flows showed silence; it counts until then.
    base::time_point silent_until{};
    /// Other hosts whose flows show silence, and those that could not connect.
    std::size_t silence_votes = 0;
    std::size_t unreachable_votes = 0;
    /// New flows avoid the upstream until then, by own evidence or that of others.
    base::time_point avoid_until{};

    /// Attempts to connect, made while flows show that something may be wrong.
    struct
    {
        bool pending = false;
        /// When the first of a series began.
        base::time_point begun_at{};
        /// Attempts of the series that got no answer.
        std::uint32_t unreachable_count = 0;
        /// No new series before then.
        base::time_point not_before{};
        /// Last time that an attempt failed.
        base::time_point failed_at{};
        /// Last time that the upstream accepted a connection.
        base::time_point reached_at{};
    } probes;
};

/// Which upstreams there are, from the registrations in the platform's store.
///
/// Keeps incarnations that ended for a while so that packets of their flows are
/// recognised. Not thread-safe; owned by the `steerer`.
class upstream_registry
{
public:
    struct limits
    {
        /// How long a missing registration may come back: three heartbeats may be
        /// lost while the store is away, and it is back within two seconds.
        base::duration missing_grace = std::chrono::milliseconds{2'500};
        /// How long an ended incarnation is remembered: the age limit of flows.
        base::duration retention = std::chrono::seconds{60};
    };

    struct change
    {
        upstream_change kind = upstream_change::none;
        upstream_incarnation* incarnation = nullptr;
    };

    explicit upstream_registry(limits bounds) : limits_{bounds} {}

    /// Takes one registration; ignores one older than what is known of the id.
    change put(const upstream_entry& entry, base::time_point now);
    /// The store lists the id no longer since `revision`, or with unusable fields.
    change remove(const std::string& id, std::uint64_t revision, base::time_point now);
    /// A complete list as of `revision`: ids that it leaves out are missing, except
    /// those that are known to have changed later.
    std::vector<change> replace_all(const std::vector<upstream_entry>& entries, std::uint64_t revision,
                                    base::time_point now);
    /// The store could not be read: its entries may lapse although upstreams live.
    void store_failed(base::time_point now) { store_failed_at_ = now; }

    /// Ends incarnations that have been missing for too long and forgets old ones.
    std::vector<change> expire(base::time_point now);

    /// Null when the token names no incarnation that is known.
    upstream_incarnation* find(upstream_token token);
    /// Incarnations of a service that have not ended; empty when there are none.
    const std::vector<upstream_incarnation*>& of_service(const std::string& service) const;

    /// True when the store could be read for at least `missing_grace`.
    bool is_store_settled(base::time_point now) const;
    /// True when the entry may have lapsed although the upstream lives.
    bool may_have_expired(const upstream_incarnation& incarnation) const;

    template <typename Visitor> void for_each(Visitor visit)
    {
        for (auto& [token, incarnation] : by_token_)
        {
            visit(*incarnation);
        }
    }
    std::size_t size() const noexcept { return by_token_.size(); }

private:
    /// The newest that is known of an id.
    struct known_revision
    {
        std::uint64_t revision = 0;
        bool removed = false;
        base::time_point at{};
    };

    /// False when `revision` tells nothing newer of the id.
    bool record_revision(const std::string& id, std::uint64_t revision, bool removed, base::time_point now);
    change mark_missing(upstream_incarnation& incarnation, base::time_point now);
    void end(upstream_incarnation& incarnation, base::time_point now);
    void update(upstream_incarnation& incarnation, const upstream_entry& entry, base::time_point now);

    limits limits_;
    std::unordered_map<upstream_token, std::unique_ptr<upstream_incarnation>> by_token_;
    std::unordered_map<std::string, upstream_incarnation*> by_id_;
    std::unordered_map<std::string, std::vector<upstream_incarnation*>> by_service_;
    std::unordered_map<std::string, known_revision> revisions_;
    std::optional<base::time_point> store_failed_at_;
};

} // namespace galenabay::steer
