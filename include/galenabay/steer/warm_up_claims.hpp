#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/steer/upstream_registry.hpp>
#include <galenabay/steer/warm_up_budget.hpp>
#include <galenabay/steer/warm_up_shares.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace galenabay::steer
{

/// A call to the store that is to be made for a starting incarnation. Plain value.
struct warm_up_request
{
    enum class kind
    {
        /// Create the object that makes this host the owner and lists who shares the rate.
        claim,
        /// Remove it.
        release,
    };

    kind what = kind::claim;
    upstream_token token = 0;
    /// Identify the incarnation on all hosts.
    std::string id;
    std::uint64_t started_ms = 0;
    /// For a claim: largest number of processes that the object may list, this one included.
    std::size_t max_shares = 1;

    friend auto operator<=>(const warm_up_request&, const warm_up_request&) = default;
};

/// Outcome of a claim.
enum class claim_result
{
    /// The object was created, or an earlier attempt of this process created it.
    created,
    /// An earlier process of this host created the object, and has ended.
    inherited,
    /// Another host created the object.
    taken,
    /// The store did not answer, or its answer cannot be used.
    failed,
};

constexpr std::size_t claim_result_count = 4;

/// Returns the lower-case name that logs and metrics use; it never changes.
const char* name_of(claim_result result);

/// Answer to a claim. Plain value.
struct claim_answer
{
    upstream_token token = 0;
    claim_result result = claim_result::failed;
    /// Epoch of the store's answer; 0 when unknown.
    std::uint64_t epoch = 0;
    /// Processes that the store's object lists, the owner first; empty for the owner alone.
    std::vector<share_holder> holders{};
};

/// Which starting upstreams this host owns or has a share of, and the pace of the new flows that it
/// sends to them.
///
/// The store makes an owner unique: the first host to create the object of an incarnation owns it
/// until it is warm, and no running host takes it over. The object lists the processes that share
/// the rate and never changes. So the limit holds whatever hosts know of one another. Does no I/O;
/// not thread-safe; owned by the `steerer`.
class warm_up_claims
{
public:
    struct options
    {
        /// Time after the start before the first claim. By then the last flows that the previous
        /// process of this host sent are more than a second old, and the statuses of other hosts
        /// have arrived, by which candidates are ranked.
        base::duration startup_wait = std::chrono::milliseconds{1'000};
        /// Time after which the second candidate claims: the first one has had an answer by then.
        base::duration second_candidate_wait = std::chrono::milliseconds{500};
        /// Pause after a failed claim.
        base::duration retry_pause = std::chrono::milliseconds{500};
        /// This process, as lists of holders name it.
        share_holder self{};
        /// Any second may have the stated rate times the first, plus the second, of new flows.
        double overshoot = 1;
        double slack = 0;
    };

    /// Returns the number of live hosts of the upstream's data centre that rank before this one
    /// as its owner; nullopt when this host is no candidate.
    using rank_function = std::function<std::optional<std::size_t>(const upstream_entry&)>;
    /// Returns the rate in new flows a second to which the upstream is limited; 0 while it is not.
    using limit_function = std::function<double(const upstream_incarnation&)>;

    warm_up_claims() : warm_up_claims{options{}} {}
    explicit warm_up_claims(options settings) : options_{std::move(settings)} {}

    /// Returns the calls that are due. Upstreams whose warm-up is over are released, and not before:
    /// while other hosts take one for starting that has ended here or is no longer limited, another
    /// one could claim it and list other holders.
    std::vector<warm_up_request> update(upstream_registry& registry, const limit_function& limit_of,
                                        const rank_function& rank_of, base::time_point now);
    /// Records the latest epoch of the store that this process knows, also by a stale answer. Incarnations whose
    /// registration has none are taken for known since the epoch in which they are first seen here.
    void on_store_epoch(std::uint64_t epoch) noexcept { store_epoch_ = epoch; }
    /// Applies the answer to a claim. Returns true when this host owns the incarnation by it.
    bool on_answer(const claim_answer& answer, base::time_point now);
    /// Applies an owner's message. Returns true when this process has a share by it. The list that
    /// it learns first is the only one that it uses.
    bool on_shares(const warm_up_shares& shares, base::time_point now);
    /// Returns the lists that are to be sent to their holders now. They are repeated, since a holder
    /// may miss one or not know the upstream yet.
    std::vector<warm_up_shares> take_announcements(base::time_point now);
    /// Records that the process did not run for a while: another process of this host may own its
    /// upstreams now, so that it gives them and its shares up until they are warm.
    void on_pause();

    /// Returns true when this host owns the incarnation.
    bool owns(upstream_token token) const;
    /// Returns this process's part of the rate that the service states, in new flows a second; 0
    /// without a share.
    double share_rate(upstream_token token, base::time_point now) const;
    /// Returns true when this process has a share and a new flow may go to the incarnation now.
    bool has_token(upstream_token token, base::time_point now) const;
    /// Records a new flow to an incarnation for which `has_token` is true. `rate`: new flows a
    /// second of all holders, above 0.
    void take_token(upstream_token token, double rate, base::time_point now);

    /// Number of upstreams of this data centre whose warm-up is not over and whose new flows are or
    /// were limited.
    std::size_t size() const noexcept { return rows_.size(); }

private:
    enum class ownership
    {
        unclaimed,
        /// A call is under way.
        asked,
        /// The call failed; it may have taken effect.
        failed,
        owned,
        /// Another process owns the incarnation, or may.
        lost,
    };

    /// This process's place among the holders.
    struct share
    {
        std::size_t position = 0;
        std::size_t holders = 1;
    };

    struct row
    {
        std::string id;
        std::uint64_t started_ms = 0;
        ownership state = ownership::unclaimed;
        /// Earliest time of the next claim by the first candidate.
        base::time_point next_attempt{};
        /// Epoch of the store in which the incarnation became known; 0 when unknown.
        std::uint64_t epoch = 0;
        /// Stated rate as of the last `update`; 0 when new flows to the upstream were not limited.
        double rate = 0;
        /// End of the warm-up that the registration states.
        base::time_point warm_at{};
        /// Latest time at which the upstream is slow for any reason.
        base::time_point slow_until{};
        std::optional<share> own_share{};
        /// The process paused after it had claimed the incarnation or had a share.
        bool revoked = false;
        warm_up_budget budget{};
        /// Those to whom this process sends the list; empty unless it created the object.
        std::vector<share_holder> holders{};
        std::size_t announcements = 0;
        base::time_point next_announcement{};
    };

    /// Releases and forgets the rows whose warm-up is over.
    void release_warm(std::vector<warm_up_request>& due, base::time_point now);
    /// Returns true when this host should claim an incarnation now.
    bool is_claim_due(const row& claimed, const upstream_entry& entry, const rank_function& rank_of,
                      base::time_point now) const;
    /// Returns the number of holders that the object of an incarnation may list.
    std::size_t max_shares(const row& claimed, base::time_point now) const;
    /// Takes this process's share of a list unless it is the owner's. Returns true when it has one.
    bool adopt(row& claimed, const std::vector<share_holder>& holders, base::time_point now) const;
    /// Returns true when the process may use its share.
    bool may_use_share(const row& claimed, base::time_point now) const;
    /// Returns the row whose list is to be sent next; null when none is due.
    row* next_announced(base::time_point now);

    options options_;
    std::optional<base::time_point> started_at_;
    std::uint64_t store_epoch_ = 0;
    std::unordered_map<upstream_token, row> rows_;
    /// Time by which the lists sent so far would have been sent at the rate that is allowed.
    base::time_point announced_until_{};
};

} // namespace galenabay::steer
