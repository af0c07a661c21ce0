#include <galenabay/steer/warm_up_claims.hpp>

#include <galenabay/base/invariant.hpp>

#include <algorithm>

namespace galenabay::steer
{

namespace
{

/// Returns false when a store that has returned from an older copy gave the second of two epochs: it
/// may have lost the object of the owner. 0 is an unknown epoch.
bool is_same_store(std::uint64_t known, std::uint64_t answered)
{
    return known == 0 || answered == 0 || known == answered;
}

} // namespace

const char* name_of(claim_result result)
{
    switch (result)
    {
    case claim_result::created:
        return "created";
    case claim_result::inherited:
        return "inherited";
    case claim_result::taken:
        return "taken";
    case claim_result::failed:
        return "failed";
    }
    return "unknown";
}

std::vector<warm_up_request> warm_up_claims::update(upstream_registry& registry, const limit_function& limit_of,
                                                    const rank_function& rank_of, base::time_point now)
{
    started_at_ = started_at_.value_or(now);
    for (auto& [token, claimed] : rows_)
    {
        claimed.rate = 0;
    }
    std::vector<warm_up_request> due;
    registry.for_each(
        [&](const upstream_incarnation& upstream)
        {
            const double rate = upstream.ended ? 0 : limit_of(upstream);
            if (rate <= 0)
            {
                return;
            }
            const auto& entry = upstream.entry;
            const auto [found, is_new] = rows_.try_emplace(
                upstream.token, row{.id = entry.id,
                                    .started_ms = entry.started_ms,
                                    .next_attempt = std::max(now, *started_at_ + options_.startup_wait),
                                    .epoch = entry.revision.epoch == 0 ? store_epoch_ : entry.revision.epoch});
            auto& claimed = found->second;
            claimed.epoch = claimed.epoch == 0 ? entry.revision.epoch : claimed.epoch;
            claimed.rate = rate;
            claimed.warm_at = upstream.warm_at;
            claimed.slow_until = std::max({claimed.slow_until, upstream.warm_at, upstream.cold_until});
            if (is_claim_due(claimed, entry, rank_of, now))
            {
                claimed.state = ownership::asked;
                due.push_back({.what = warm_up_request::kind::claim,
                               .token = upstream.token,
                               .id = entry.id,
                               .started_ms = entry.started_ms,
                               .max_shares = max_shares(claimed, now)});
            }
        });
    release_warm(due, now);
    return due;
}

bool warm_up_claims::is_claim_due(const row& claimed, const upstream_entry& entry, const rank_function& rank_of,
                                  base::time_point now) const
{
    const bool is_open = claimed.state == ownership::unclaimed || claimed.state == ownership::failed;
    if (!is_open || entry.draining || now < claimed.next_attempt)
    {
        return false;
    }
    const auto rank = rank_of(entry);
    constexpr std::size_t first = 0;
    constexpr std::size_t second = 1;
    return rank == first || (rank == second && now - claimed.next_attempt >= options_.second_candidate_wait);
}

std::size_t warm_up_claims::max_shares(const row& claimed, base::time_point now) const
{
    // The object of a data centre's return has the name that the object of the warm-up had, and a
    // late message could name the holders of the earlier one. So could one of an upstream without
    // a start time, whose incarnations have one name.
    const bool has_one_list = claimed.started_ms != 0 && now < claimed.warm_at;
    return has_one_list ? share_limit(claimed.rate, options_.overshoot, options_.slack) : 1;
}

void warm_up_claims::release_warm(std::vector<warm_up_request>& due, base::time_point now)
{
    std::erase_if(rows_,
                  [&](const auto& entry)
                  {
                      const auto& [token, claimed] = entry;
                      if (now < claimed.slow_until)
                      {
                          return false;
                      }
                      if (claimed.state == ownership::owned)
                      {
                          due.push_back({.what = warm_up_request::kind::release,
                                         .token = token,
                                         .id = claimed.id,
                                         .started_ms = claimed.started_ms});
                      }
                      return true;
                  });
}

bool warm_up_claims::on_answer(const claim_answer& answer, base::time_point now)
{
    const auto found = rows_.find(answer.token);
    if (found == rows_.end() || found->second.state != ownership::asked)
    {
        return false;
    }
    auto& claimed = found->second;
    if (answer.result == claim_result::failed)
    {
        claimed.state = ownership::failed;
        claimed.next_attempt = now + options_.retry_pause;
        return false;
    }
    claimed.state = ownership::lost;
    if (!is_same_store(claimed.epoch, answer.epoch))
    {
        return false;
    }
    claimed.epoch = claimed.epoch == 0 ? answer.epoch : claimed.epoch;
    if (answer.result == claim_result::taken)
    {
        adopt(claimed, answer.holders, now);
        return false;
    }
    if (claimed.own_share)
    {
        // Another list named this process, so that the object is not the first one.
        return false;
    }
    claimed.state = ownership::owned;
    claimed.own_share = share{.position = 0, .holders = std::max<std::size_t>(answer.holders.size(), 1)};
    if (answer.result == claim_result::created && answer.holders.size() > 1)
    {
        claimed.holders = answer.holders;
        claimed.next_announcement = now;
    }
    return true;
}

bool warm_up_claims::on_shares(const warm_up_shares& shares, base::time_point now)
{
    const auto found =
        std::find_if(rows_.begin(), rows_.end(),
                     [&](const auto& entry)
                     { return entry.second.id == shares.id && entry.second.started_ms == shares.started_ms; });
    if (found == rows_.end() || found->second.rate <= 0 || !is_same_store(found->second.epoch, shares.epoch) ||
        !adopt(found->second, shares.holders, now))
    {
        return false;
    }
    auto& claimed = found->second;
    // The answer to a call that is under way says who owns the incarnation.
    claimed.state = claimed.state == ownership::asked ? ownership::asked : ownership::lost;
    return true;
}

bool warm_up_claims::adopt(row& claimed, const std::vector<share_holder>& holders, base::time_point now) const
{
    if (claimed.own_share || claimed.revoked || claimed.started_ms == 0 || now >= claimed.warm_at ||
        holders.size() > max_share_holders)
    {
        return false;
    }
    const auto own = std::find(holders.begin(), holders.end(), options_.self);
    // Only the store's answer makes an owner.
    if (own == holders.end() || own == holders.begin())
    {
        return false;
    }
    claimed.own_share = share{.position = static_cast<std::size_t>(own - holders.begin()), .holders = holders.size()};
    return true;
}

warm_up_claims::row* warm_up_claims::next_announced(base::time_point now)
{
    row* next = nullptr;
    for (auto& [token, claimed] : rows_)
    {
        const bool is_due =
            !claimed.holders.empty() && claimed.rate > 0 && now < claimed.warm_at && now >= claimed.next_announcement;
        if (is_due && (next == nullptr || claimed.next_announcement < next->next_announcement))
        {
            next = &claimed;
        }
    }
    return next;
}

std::vector<warm_up_shares> warm_up_claims::take_announcements(base::time_point now)
{
    // An owner of one upstream sends at most 15 datagrams of some 500 bytes a second. One of many
    // upstreams sends hardly more and repeats each list less often, since the control traffic of a
    // host is limited.
    constexpr base::duration time_per_datagram = std::chrono::milliseconds{60};
    constexpr base::duration burst = std::chrono::seconds{1};
    constexpr base::duration first_repeat = std::chrono::milliseconds{300};
    constexpr base::duration second_repeat = std::chrono::milliseconds{700};
    constexpr base::duration repeat_interval = std::chrono::seconds{1};
    std::vector<warm_up_shares> due;
    announced_until_ = std::max(announced_until_, now);
    while (announced_until_ <= now + burst)
    {
        auto* next = next_announced(now);
        if (next == nullptr)
        {
            break;
        }
        ++next->announcements;
        const auto repeat =
            next->announcements == 1 ? first_repeat : (next->announcements == 2 ? second_repeat : repeat_interval);
        next->next_announcement = now + repeat;
        announced_until_ += time_per_datagram * static_cast<std::int64_t>(next->holders.size() - 1);
        due.push_back({.id = next->id, .started_ms = next->started_ms, .epoch = next->epoch, .holders = next->holders});
    }
    return due;
}

void warm_up_claims::on_pause()
{
    for (auto& [token, claimed] : rows_)
    {
        if (claimed.state != ownership::unclaimed || claimed.own_share)
        {
            claimed.state = ownership::lost;
            claimed.own_share.reset();
            claimed.revoked = true;
            claimed.holders.clear();
        }
    }
}

bool warm_up_claims::owns(upstream_token token) const
{
    const auto found = rows_.find(token);
    return found != rows_.end() && found->second.state == ownership::owned;
}

bool warm_up_claims::may_use_share(const row& claimed, base::time_point now) const
{
    if (!claimed.own_share)
    {
        return false;
    }
    // A configuration that states a lower rate leaves room for fewer holders.
    return claimed.own_share->position == 0 ||
           (now < claimed.warm_at &&
            claimed.own_share->position < share_limit(claimed.rate, options_.overshoot, options_.slack));
}

double warm_up_claims::share_rate(upstream_token token, base::time_point now) const
{
    const auto found = rows_.find(token);
    return found != rows_.end() && may_use_share(found->second, now)
               ? found->second.rate / static_cast<double>(found->second.own_share->holders)
               : 0;
}

bool warm_up_claims::has_token(upstream_token token, base::time_point now) const
{
    const auto found = rows_.find(token);
    return found != rows_.end() && may_use_share(found->second, now) && found->second.budget.has_token(now);
}

void warm_up_claims::take_token(upstream_token token, double rate, base::time_point now)
{
    GALENABAY_INVARIANT(has_token(token, now) && rate > 0);
    auto& claimed = rows_.at(token);
    const auto holders = claimed.own_share->holders;
    // Holders that are fewer than the limit allows wait for flows with more tokens each.
    constexpr double largest_rate = 1e6;
    const auto spare = spare_flows(claimed.rate, options_.overshoot, options_.slack);
    // After a relapse the rate is a part of the stated one, and so is what a burst may have.
    const double part = std::min(1.0, rate / claimed.rate);
    const double most = std::floor(std::min(claimed.rate, largest_rate)) + static_cast<double>(spare);
    const auto allowed = static_cast<std::size_t>(most * part) / holders;
    const bool catches_up = holders > 1 || (spare > 0 && !claimed.budget.is_unused());
    claimed.budget.take(rate / static_cast<double>(holders), now,
                        catches_up ? warm_up_budget::pacing::catch_up : warm_up_budget::pacing::depth_one, allowed);
}

} // namespace galenabay::steer
