#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/steer/answer_time.hpp>
#include <galenabay/steer/upstream_entry.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace galenabay::steer
{

/// Effect of a registration or its removal on the registry's entry of an upstream.
enum class upstream_change
{
    none,
    added,
    updated,
    /// The same id started again: the earlier incarnation's flows are lost.
    restarted,
    /// The store no longer lists the upstream.
    missing,
    /// The upstream was missing for longer than a live one needs to register again.
    ended,
};

/// Returns the lower-case name that logs use; it never changes.
const char* name_of(upstream_change change);

/// One start of an upstream, with the evidence of its state from this host's flows,
/// other hosts' reports and probes.
struct upstream_incarnation
{
    upstream_entry entry;
    upstream_token token = 0;
    /// When the upstream's warm-up ends.
    base::time_point warm_at{};
    /// Until this time the upstream may be slow because its data centre was evacuated, although
    /// its registration says nothing of it.
    base::time_point cold_until{};
    /// When the store stopped listing the upstream; empty while it is listed.
    std::optional<base::time_point> missing_since;
    /// No flow of this incarnation can continue.
    bool ended = false;
    base::time_point ended_at{};
    /// Since when this host may not have learnt in time that the incarnation ended; at most `ended_at`.
    base::time_point end_unknown_since{};
    /// The next incarnation of the same id, service, number and address; 0 when there is none.
    upstream_token successor = 0;

    /// Part of `upstream_registry::digest`; 0 while the upstream is not listed.
    std::uint64_t digest_part = 0;
    /// Open flows through this host.
    std::uint32_t flows = 0;
    /// Flows through this host whose last request has no complete answer.
    std::uint32_t open_requests = 0;
    /// Sum of the flows and open requests that the other hosts report.
    std::uint32_t remote_flows = 0;
    /// The latest sum, for the room and for answer time samples: they state the load at one time, and no host chooses
    /// an upstream by it, so that a mean would only make it later.
    std::uint32_t remote_requests = 0;
    /// `remote_requests` averaged over the last seconds, for the selection: by the latest sum all hosts would choose
    /// the same upstreams until the next one.
    double mean_remote_requests = 0;
    /// When `mean_remote_requests` was last brought up to date.
    base::time_point remote_seen_at{};
    /// Latest answer from the upstream that another host has reported.
    base::time_point remote_progress{};

    /// Flows through this host that the upstream ended at once, without a full answer, in total.
    std::uint64_t rejected_flows = 0;
    /// Addition to the load because of rejected flows as of `rejected_at`; decays with time.
    double rejection_penalty = 0;
    base::time_point rejected_at{};
    /// Factor on the load, above 1 after earlier incarnations failed at the same address.
    double load_factor = 1;
    /// Typical answer time relative to that of the service's upstreams; 1 when unknown.
    double relative_answer_time = 1;
    /// `relative_answer_time` has halved the upstream's capacity.
    bool is_slow = false;
    /// Answer times in flows through this host, and the fleet's sum as of a time.
    answer_time_estimator answer_times;
    answer_time_sum fleet_answer_times;
    base::time_point fleet_answer_times_at{};
    /// When a sum of the fleet last had samples; empty when none had.
    std::optional<base::time_point> fleet_samples_at;

    /// Latest answer from the upstream in a flow through this host.
    base::time_point last_progress{};
    /// Packets that callers have retransmitted since `last_progress`.
    std::uint32_t retransmissions = 0;
    /// SYNs without an answer since `last_progress`.
    std::uint32_t unanswered_syns = 0;
    /// When the first of them was found unanswered.
    base::time_point unanswered_since{};
    /// Until this time the upstream counts as silent because of this host's own flows or
    /// probes.
    base::time_point silent_until{};
    /// Number of other hosts that report the upstream as silent, and of those that could
    /// not connect to it.
    std::size_t silence_votes = 0;
    std::size_t unreachable_votes = 0;
    /// New flows avoid the upstream until this time, by this host's own evidence.
    base::time_point avoid_until{};
    /// The same by the votes of other hosts, and since when they vote; empty when none does.
    base::time_point voted_until{};
    std::optional<base::time_point> voted_since;
    /// Unanswered SYNs and votes do not exclude the upstream, since they speak against too many of the service.
    bool doubts_ignored = false;

    /// State of the attempts to connect, made while the upstream is suspected to be down.
    struct
    {
        bool pending = false;
        /// When the first attempt of the series began.
        base::time_point begun_at{};
        /// Attempts of the series that timed out; 0 once flows were reset because of them.
        std::uint32_t unreachable_count = 0;
        /// No new series begins before this time.
        base::time_point not_before{};
        /// When an attempt last failed.
        base::time_point failed_at{};
        /// When the upstream last accepted a connection.
        base::time_point reached_at{};
    } probes;
};

/// An upstream that gets no flows, because another one has its token. Plain value.
struct token_collision
{
    std::string id;
    std::string other_id;
    upstream_token token = 0;

    friend auto operator<=>(const token_collision&, const token_collision&) = default;
};

/// The upstreams that are registered in the platform's store.
///
/// Keeps ended incarnations for `limits::retention` to recognise packets of their
/// flows. Not thread-safe; owned by the `steerer`.
class upstream_registry
{
public:
    /// Times for which missing and ended incarnations are kept.
    struct limits
    {
        /// Time in which a missing upstream may register again: three heartbeats may be
        /// lost while the store is down, and it is back within two seconds.
        base::duration missing_grace = std::chrono::milliseconds{2'500};
        /// Time for which an ended incarnation is kept: the age limit of flows.
        base::duration retention = std::chrono::seconds{60};
        /// Longest time after the restart of an upstream within which hosts learn of it while some host can read the
        /// store: in the fault soak it was unavailable for up to 4.5 s, and a first list was up to 6 s old.
        base::duration restart_delay = std::chrono::seconds{6};
    };

    /// Change of one incarnation, which is null only for the kind `none`.
    struct change
    {
        upstream_change kind = upstream_change::none;
        upstream_incarnation* incarnation = nullptr;
    };

    explicit upstream_registry(limits bounds) : limits_{bounds} {}

    /// Applies one registration, unless a newer one of the id was applied. One with an earlier
    /// start time than the known one may be a late write of an earlier start, after which the
    /// upstream registers again, or the upstream has started with its clock set back. So it
    /// replaces the known one in `expire`, unless that one registers within `missing_grace`.
    change put(const upstream_entry& entry, base::time_point now);
    /// Marks the upstream as missing: since `revision` the store no longer lists it, or
    /// lists it with unusable fields.
    change remove(const std::string& id, const store_revision& revision, base::time_point now);
    /// Applies a complete list as of `revision`. Upstreams that it does not contain are
    /// missing, except those that changed after `revision`.
    std::vector<change> replace_all(const std::vector<upstream_entry>& entries, const store_revision& revision,
                                    base::time_point now);
    /// Records that the store could not be read: registrations may expire although their
    /// upstreams are alive.
    void store_failed(base::time_point now);
    /// Records that no host is known to watch the store for this one: restarts may become known late. Unlike after
    /// `store_failed`, missing upstreams end.
    void store_unwatched(base::time_point now);

    /// Ends incarnations that were missing for `missing_grace` and removes ended ones
    /// after `retention`. Returns those that it ended and those that took their place.
    std::vector<change> expire(base::time_point now);

    /// Returns null when no incarnation has the token.
    upstream_incarnation* find(upstream_token token);
    /// Returns the incarnation that listens where an ended one did, under its number; null when
    /// none does, as far as is known.
    upstream_incarnation* find_successor(const upstream_incarnation& ended);
    /// Returns the incarnations of a service that have not ended.
    const std::vector<upstream_incarnation*>& of_service(const std::string& service) const;

    /// Returns true when no read of the store failed for `missing_grace`.
    bool is_store_settled(base::time_point now) const;
    /// Returns true when a read of the store failed, or no host was known to watch it, within `restart_delay`.
    bool was_unwatched(base::time_point now) const;
    /// Returns since when restarts may have become known later than `restart_delay`: the first of the times of
    /// `was_unwatched` that follow one another within that delay; `now` when the last one is longer ago.
    base::time_point unwatched_since(base::time_point now) const;
    const limits& bounds() const noexcept { return limits_; }
    /// Returns true when the registration went missing shortly after the store failed, so
    /// that it may have expired although the upstream is alive.
    bool may_have_expired(const upstream_incarnation& incarnation) const;
    /// Returns true when the registration is missing and cannot have expired alone.
    bool is_missing(const upstream_incarnation& incarnation) const
    {
        return incarnation.missing_since && !may_have_expired(incarnation);
    }

    /// Calls `visit` with each incarnation, ended ones included.
    template <typename Visitor> void for_each(Visitor visit)
    {
        for (auto& [token, incarnation] : by_token_)
        {
            visit(*incarnation);
        }
    }
    /// Calls `visit` with the incarnations of each service that have not ended.
    template <typename Visitor> void for_each_service(Visitor visit) const
    {
        for (const auto& [service, incarnations] : by_service_)
        {
            visit(incarnations);
        }
    }
    /// Returns a digest of the listed upstreams and of what steering uses of them; equal on
    /// hosts that know the same, and never 0.
    std::uint64_t digest() const noexcept;
    /// Number of registrations that were not applied because a later change of the id was,
    /// and that differ from what is known.
    std::uint64_t outdated_count() const noexcept { return outdated_count_; }
    /// Returns the upstreams that were found to have the token of another one since the last call.
    std::vector<token_collision> take_collisions() { return std::exchange(found_collisions_, {}); }
    /// Number of upstreams that have the token of another one.
    std::size_t collision_count() const noexcept { return colliding_.size(); }
    /// Number of incarnations, ended ones included.
    std::size_t size() const noexcept { return by_token_.size(); }

private:
    /// Latest change of an id that was applied.
    struct known_change
    {
        store_revision revision;
        bool removed = false;
        base::time_point at{};
        /// Epoch of the registration that was applied last, and its place among those that
        /// the upstream sent.
        std::uint64_t content_epoch = 0;
        std::uint64_t started_ms = 0;
        std::uint64_t sequence = 0;
    };

    /// Latest registration of a start before that of the known incarnation, and the time of the
    /// first one.
    struct earlier_start
    {
        upstream_entry entry;
        base::time_point known_since{};
        /// `unwatched_since` at that time.
        base::time_point unwatched_since{};
    };

    /// Returns true when a registration is newer than what is known of the upstream. Within
    /// an epoch the store's order decides. Across epochs the upstream's own order does: an
    /// older copy of the store may list what the upstream has replaced since.
    static bool is_newer(const upstream_entry& entry, const known_change& known);
    /// Records a registration. Returns false when it must not be applied.
    bool record_registration(const upstream_entry& entry, base::time_point now);
    /// Records a removal. Returns false when a later change of the id is known.
    bool record_removal(const std::string& id, const store_revision& revision, base::time_point now);
    /// Treats a new epoch as a failure of the store: upstreams that started after its copy
    /// was made are not listed until they register again.
    void observe_epoch(std::uint64_t epoch, base::time_point now);
    /// Counts a registration that was not applied, unless it says what is known.
    void count_outdated(const upstream_entry& entry);
    /// Ends the incarnations that did not register again after one of an earlier start, and adds
    /// those in their place. Appends the changes.
    void replace_with_earlier_starts(std::vector<change>& changes, base::time_point now);
    /// Records that an upstream gets no flows because another one has its token.
    void record_collision(const upstream_entry& entry, const upstream_incarnation& other);
    change mark_missing(upstream_incarnation& incarnation, base::time_point now);
    void end(upstream_incarnation& incarnation, base::time_point now);
    /// Records that `next` follows `ended`, if it has the same service, number and address.
    static void link(upstream_incarnation& ended, const upstream_incarnation& next);
    void update(upstream_incarnation& incarnation, const upstream_entry& entry, base::time_point now);
    /// Brings the digest up to date after the incarnation changed.
    void update_digest(upstream_incarnation& incarnation);

    limits limits_;
    std::unordered_map<upstream_token, std::unique_ptr<upstream_incarnation>> by_token_;
    std::unordered_map<std::string, upstream_incarnation*> by_id_;
    std::unordered_map<std::string, std::vector<upstream_incarnation*>> by_service_;
    std::unordered_map<std::string, known_change> known_;
    std::unordered_map<std::string, earlier_start> earlier_starts_;
    /// Upstreams that get no flows because of their tokens, by id, and those of them to be reported.
    std::unordered_map<std::string, upstream_token> colliding_;
    std::vector<token_collision> found_collisions_;
    std::uint64_t epoch_ = 0;
    /// Revision of the latest complete list: what it does not contain was gone by then.
    store_revision listed_at_;
    std::optional<base::time_point> store_failed_at_;
    /// Latest failure or time without a watching host, and the first one of those that it ended.
    std::optional<base::time_point> unwatched_at_;
    base::time_point unwatched_since_{};
    std::uint64_t outdated_count_ = 0;
    /// Sum of `digest_part` of all incarnations.
    std::uint64_t digest_sum_ = 0;
};

} // namespace galenabay::steer
