#include <galenabay/revision/follower.hpp>

#include <galenabay/base/backoff.hpp>
#include <galenabay/base/invariant.hpp>
#include <galenabay/base/random.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace galenabay::revision
{

namespace
{

const std::string platform_source = "platform";
constexpr std::size_t max_peers = 8192;
constexpr std::size_t max_peer_fetches = 3;
/// Answers in a row, older than the revision in force, after which the platform
/// counts as restored to an older state; a single one may be a stale read.
constexpr int older_answers_until_alarm = 2;
constexpr base::duration older_answer_delay{1'000'000};
constexpr int max_older_answer_delays = 10;
/// Limit of the backoff after the first failure of a source.
constexpr base::duration first_backoff{200'000};
constexpr base::duration rewatch_jitter{100'000};
constexpr base::duration reachability_lifetime{10'000'000};

/// State of one peer as a source of revisions.
struct peer_source
{
    std::uint64_t number = 0;
    bool reaches_platform = false;
    base::time_point reachability_reported_at{};
    std::optional<base::time_point> fetch_started;
    base::time_point not_before{};
    base::backoff fetch_backoff{first_backoff};
};

/// A revision that a source offered.
struct offer
{
    std::uint64_t number = 0;
    config::digest digest{};
};

} // namespace

class follower::state
{
public:
    explicit state(follower_settings settings) : settings_{settings}, random_{settings.seed} {}

    const config::accepted_revision* current() const noexcept { return current_ ? &*current_ : nullptr; }
    bool platform_reachable() const noexcept { return reachable_; }
    void set_watching(bool watches) noexcept { watching_ = watches; }

    actions on_platform_revision(const config::accepted_revision& offered, base::time_point now)
    {
        record_platform_success();
        platform_due_ = now + jitter(rewatch_jitter);
        actions out;
        adopt_if_newer(platform_source, offered, out);
        if (offered.number < number())
        {
            on_older_answer({offered.number, offered.digest}, now, out);
        }
        else
        {
            reset_older_answers();
        }
        schedule(now, out);
        return out;
    }

    actions on_platform_unchanged(base::time_point now)
    {
        record_platform_success();
        platform_due_ = now + jitter(rewatch_jitter);
        actions out;
        if (older_offer_)
        {
            // No change since the older answer: the platform still holds that
            // revision.
            on_older_answer(*older_offer_, now, out);
        }
        schedule(now, out);
        return out;
    }

    actions on_platform_failure(base::time_point now)
    {
        record_platform_failure(now);
        return scheduled(now);
    }

    void on_peer_reachability(const std::string& host, bool platform_reachable, base::time_point now)
    {
        if (auto* const peer = find_or_add(host); peer != nullptr)
        {
            peer->reaches_platform = platform_reachable;
            peer->reachability_reported_at = now;
        }
    }

    actions on_peer_number(const std::string& host, std::uint64_t offered, base::time_point now)
    {
        auto* const peer = find_or_add(host);
        if (peer == nullptr)
        {
            return scheduled(now);
        }
        if (offered > number() && offered > newest_known_number_)
        {
            newest_known_number_ = offered;
            peers_due_ = reachable_ && watching_ ? now + jitter(settings_.peer_fetch_delay) : now;
        }
        peer->number = offered;
        return scheduled(now);
    }

    actions on_peer_revision(const std::string& host, const config::accepted_revision& offered, base::time_point now)
    {
        if (auto* const peer = find_or_add(host); peer != nullptr)
        {
            peer->fetch_started.reset();
            peer->fetch_backoff.reset();
            peer->number = std::max(peer->number, offered.number);
        }
        actions out;
        adopt_if_newer(host, offered, out);
        schedule(now, out);
        return out;
    }

    actions on_peer_failure(const std::string& host, base::time_point now)
    {
        if (const auto found = peers_.find(host); found != peers_.end())
        {
            record_peer_failure(found->second, now);
        }
        return scheduled(now);
    }

    actions on_tick(base::time_point now)
    {
        if (platform_fetch_started_ && now - *platform_fetch_started_ > settings_.fetch_timeout)
        {
            record_platform_failure(now);
        }
        for (auto& [host, peer] : peers_)
        {
            if (peer.fetch_started && now - *peer.fetch_started > settings_.fetch_timeout)
            {
                record_peer_failure(peer, now);
            }
        }
        return scheduled(now);
    }

private:
    std::uint64_t number() const noexcept { return current_ ? current_->number : 0; }

    base::duration jitter(base::duration longest)
    {
        return base::duration{static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(longest.count())))};
    }

    peer_source* find_or_add(const std::string& host)
    {
        if (const auto found = peers_.find(host); found != peers_.end())
        {
            return &found->second;
        }
        if (peers_.size() >= max_peers)
        {
            std::erase_if(peers_, [&](const auto& entry) { return entry.second.number <= number(); });
        }
        return peers_.size() >= max_peers ? nullptr : &peers_[host];
    }

    void record_platform_success()
    {
        reachable_ = true;
        platform_fetch_started_.reset();
        platform_backoff_.reset();
    }

    void record_platform_failure(base::time_point now)
    {
        reachable_ = false;
        platform_fetch_started_.reset();
        platform_due_ = now + platform_backoff_.next(random_, settings_.max_backoff);
        peers_due_ = std::min(peers_due_, now);
    }

    void record_peer_failure(peer_source& peer, base::time_point now)
    {
        peer.fetch_started.reset();
        peer.not_before = now + peer.fetch_backoff.next(random_, settings_.max_backoff);
    }

    /// Adopts a newer revision; raises an alarm when the same number has other
    /// content.
    void adopt_if_newer(const std::string& source, const config::accepted_revision& offered, actions& out)
    {
        if (offered.number == number() && offered.number != 0 && offered.digest != current_->digest)
        {
            raise_alarm_once(source, {offered.number, offered.digest}, out);
            return;
        }
        if (offered.number <= number())
        {
            return;
        }
        GALENABAY_INVARIANT(!current_ || offered.number > current_->number);
        current_ = offered;
        newest_known_number_ = std::max(newest_known_number_, offered.number);
        reset_older_answers();
        alarms_.clear();
        out.emplace_back(adopt{offered.number});
    }

    void on_older_answer(const offer& older, base::time_point now, actions& out)
    {
        older_offer_ = older;
        older_answers_ = std::min(older_answers_ + 1, max_older_answer_delays);
        platform_due_ = now + older_answers_ * older_answer_delay + jitter(rewatch_jitter);
        if (older_answers_ >= older_answers_until_alarm)
        {
            raise_alarm_once(platform_source, older, out);
        }
    }

    void reset_older_answers()
    {
        older_answers_ = 0;
        older_offer_.reset();
    }

    /// Raises one alarm for each offer of a source, however often it is repeated.
    void raise_alarm_once(const std::string& source, const offer& offered, actions& out)
    {
        if (alarms_.emplace(source, offered.number, offered.digest).second)
        {
            out.emplace_back(raise_alarm{source, offered.number, number()});
        }
    }

    actions scheduled(base::time_point now)
    {
        actions out;
        schedule(now, out);
        return out;
    }

    void schedule(base::time_point now, actions& out)
    {
        if (!platform_fetch_started_ && now >= platform_due_)
        {
            start_platform_fetch(now, out);
        }
        if (now >= peers_due_)
        {
            start_peer_fetch(now, out);
        }
    }

    bool relies_on_peers(base::time_point now) const
    {
        const auto reaches = [&](const auto& entry) {
            return entry.second.reaches_platform && now - entry.second.reachability_reported_at < reachability_lifetime;
        };
        return !watching_ && current_ && std::any_of(peers_.begin(), peers_.end(), reaches);
    }

    void start_platform_fetch(base::time_point now, actions& out)
    {
        if (relies_on_peers(now) && last_poll_ && now - *last_poll_ < settings_.poll_interval)
        {
            return;
        }
        const auto fifth = settings_.watch_wait / 5;
        const auto wait = settings_.watch_wait - fifth + jitter(2 * fifth);
        platform_fetch_started_ = now;
        last_poll_ = now - jitter(settings_.poll_interval / 5);
        const bool at_once = relies_on_peers(now) || older_answers_ > 0;
        out.emplace_back(fetch_from_platform{number(), at_once ? base::duration{0} : wait});
    }

    void start_peer_fetch(base::time_point now, actions& out)
    {
        std::vector<std::pair<const std::string, peer_source>*> usable;
        std::size_t running = 0;
        bool hedge_due = true;
        for (auto& entry : peers_)
        {
            const auto& peer = entry.second;
            if (peer.fetch_started)
            {
                ++running;
                hedge_due = hedge_due && now - *peer.fetch_started >= settings_.peer_hedge_delay;
            }
            else if (peer.number > number() && now >= peer.not_before)
            {
                usable.push_back(&entry);
            }
        }
        if (usable.empty() || !hedge_due || running >= max_peer_fetches)
        {
            return;
        }
        auto& [host, peer] = *choose(usable);
        peer.fetch_started = now;
        // After a failure the full revision is fetched: the changes since `number`
        // may not apply to the revision in force here.
        out.emplace_back(fetch_from_peer{host, peer.fetch_backoff.failures() > 0 ? 0 : number()});
    }

    /// Returns one of the peers with the largest number, at random.
    std::pair<const std::string, peer_source>* choose(std::vector<std::pair<const std::string, peer_source>*>& usable)
    {
        const auto less = [](const auto* a, const auto* b) { return a->second.number < b->second.number; };
        const auto largest = (*std::max_element(usable.begin(), usable.end(), less))->second.number;
        std::erase_if(usable, [&](const auto* entry) { return entry->second.number != largest; });
        return usable[random_.below(usable.size())];
    }

    follower_settings settings_;
    base::random_source random_;
    std::optional<config::accepted_revision> current_;
    bool reachable_ = false;
    bool watching_ = true;
    std::optional<base::time_point> platform_fetch_started_;
    std::optional<base::time_point> last_poll_;
    base::time_point platform_due_{};
    base::backoff platform_backoff_{first_backoff};
    int older_answers_ = 0;
    std::optional<offer> older_offer_;
    std::map<std::string, peer_source> peers_;
    std::uint64_t newest_known_number_ = 0;
    base::time_point peers_due_{};
    std::set<std::tuple<std::string, std::uint64_t, config::digest>> alarms_;
};

follower::follower(follower_settings settings) : state_{std::make_unique<state>(settings)} {}
follower::follower(follower&&) noexcept = default;
follower& follower::operator=(follower&&) noexcept = default;
follower::~follower() = default;

const config::accepted_revision* follower::current() const noexcept
{
    return state_->current();
}

actions follower::on_platform_revision(const config::accepted_revision& offered, base::time_point now)
{
    return state_->on_platform_revision(offered, now);
}

actions follower::on_platform_unchanged(base::time_point now)
{
    return state_->on_platform_unchanged(now);
}

actions follower::on_platform_failure(base::time_point now)
{
    return state_->on_platform_failure(now);
}

actions follower::on_peer_number(const std::string& host, std::uint64_t number, base::time_point now)
{
    return state_->on_peer_number(host, number, now);
}

actions follower::on_peer_revision(const std::string& host, const config::accepted_revision& offered,
                                   base::time_point now)
{
    return state_->on_peer_revision(host, offered, now);
}

actions follower::on_peer_failure(const std::string& host, base::time_point now)
{
    return state_->on_peer_failure(host, now);
}

void follower::set_watching(bool watches) noexcept
{
    state_->set_watching(watches);
}

void follower::on_peer_reachability(const std::string& host, bool platform_reachable, base::time_point now)
{
    state_->on_peer_reachability(host, platform_reachable, now);
}

actions follower::on_tick(base::time_point now)
{
    return state_->on_tick(now);
}

bool follower::platform_reachable() const noexcept
{
    return state_->platform_reachable();
}

} // namespace galenabay::revision
