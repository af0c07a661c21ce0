#include <galenabay/steer/data_centre_evidence.hpp>

#include <algorithm>

namespace galenabay::steer
{

namespace
{

/// Weight of an upstream that certainly did not answer. A first retransmission counts half of it.
constexpr std::uint32_t full_weight = 2;
constexpr base::duration halving_interval = std::chrono::milliseconds{500};
/// Answers of the other data centres for each of their unanswered packets from which on the fault is
/// not this host's own link.
constexpr double answers_per_sign = 4;
/// Time after which answers of the others say nothing about the newest sign: this host's own link may
/// have been silent then and be back. Longer than a SYN's limit and the interval of ticks.
constexpr base::duration sign_lifetime = std::chrono::milliseconds{500};
/// Bound on the evidence that is kept for each data centre.
constexpr std::size_t max_silent_upstreams = 32;
/// The part of it that votes may take.
constexpr std::size_t max_votes = 8;

std::uint32_t weight_of(data_centre_evidence::sign what)
{
    return what == data_centre_evidence::sign::retransmission ? 1 : full_weight;
}

} // namespace

data_centre_evidence::record& data_centre_evidence::record_of(const std::string& data_centre)
{
    const auto known = std::find_if(records_.begin(), records_.end(),
                                    [&](const record& candidate) { return candidate.name == data_centre; });
    return known != records_.end() ? *known : records_.emplace_back(record{.name = data_centre, .upstreams = {}});
}

const data_centre_evidence::record* data_centre_evidence::find(const std::string& data_centre) const
{
    const auto known = std::find_if(records_.begin(), records_.end(),
                                    [&](const record& candidate) { return candidate.name == data_centre; });
    return known != records_.end() ? &*known : nullptr;
}

bool data_centre_evidence::on_answer(const std::string& data_centre, base::time_point now)
{
    auto& answering = record_of(data_centre);
    answering.last_answer = now;
    answering.answers += 1;
    answering.upstreams.clear();
    if (!answering.silent)
    {
        return false;
    }
    end_silence(answering, now);
    return true;
}

void data_centre_evidence::on_sign(const std::string& data_centre, upstream_token token, sign what,
                                   base::time_point sent_at, base::time_point now)
{
    auto& affected = record_of(data_centre);
    const bool own = what != sign::vote;
    affected.signs += own ? 1 : 0;
    if (sent_at <= affected.last_answer || data_centre == own_)
    {
        return;
    }
    affected.last_sign = now;
    auto& upstreams = affected.upstreams;
    auto known = std::find_if(upstreams.begin(), upstreams.end(),
                              [&](const silent_upstream& candidate) { return candidate.token == token; });
    if (known == upstreams.end())
    {
        if (upstreams.size() >= (own ? max_silent_upstreams : max_votes))
        {
            return;
        }
        known = upstreams.insert(known, silent_upstream{.token = token});
    }
    known->sent_at = std::max(known->sent_at, sent_at);
    known->weight = std::min(full_weight, known->weight + weight_of(what));
    known->own = known->own || own;
}

bool data_centre_evidence::has_enough_signs(const record& of) const
{
    if (of.upstreams.size() < options_.required_upstreams)
    {
        return false;
    }
    std::size_t weight = 0;
    std::size_t own = 0;
    for (const auto& upstream : of.upstreams)
    {
        weight += upstream.weight;
        own += upstream.own ? 1 : 0;
    }
    return weight >= full_weight * options_.required_upstreams && own >= options_.required_own;
}

bool data_centre_evidence::do_others_answer(const record& of, base::time_point now) const
{
    base::time_point newest{};
    for (const auto& upstream : of.upstreams)
    {
        newest = std::max(newest, upstream.own ? upstream.sent_at : base::time_point{});
    }
    if (now - newest > sign_lifetime)
    {
        return false;
    }
    bool any_later = false;
    double answers = 0;
    double signs = 0;
    for (const auto& other : records_)
    {
        // Another data centre that is cut off at the same time says nothing about this host's link.
        if (&other != &of && !other.silent && !has_enough_signs(other))
        {
            any_later = any_later || other.last_answer > newest;
            answers += other.answers;
            signs += other.signs;
        }
    }
    return any_later && answers >= answers_per_sign * signs;
}

void data_centre_evidence::evaluate(record& of, base::time_point now)
{
    if (of.silent || !has_enough_signs(of) || !do_others_answer(of, now))
    {
        return;
    }
    of.silent = true;
    of.silent_since = now;
    of.last_trial = now;
    of.flows_since_trial = 0;
    ++silent_count_;
    changes_.push_back({.data_centre = of.name, .silent = true, .upstreams = of.upstreams.size()});
}

void data_centre_evidence::end_silence(record& of, base::time_point now)
{
    of.silent = false;
    of.upstreams.clear();
    --silent_count_;
    changes_.push_back({.data_centre = of.name, .silent = false, .upstreams = 0, .lasted = now - of.silent_since});
}

void data_centre_evidence::on_pause()
{
    for (auto& each : records_)
    {
        each.upstreams.clear();
        each.answers = 0;
        each.signs = 0;
    }
}

void data_centre_evidence::tick(base::time_point now)
{
    const bool halves = now >= next_halving_;
    next_halving_ = halves ? now + halving_interval : next_halving_;
    for (auto& each : records_)
    {
        each.answers /= halves ? 2 : 1;
        each.signs /= halves ? 2 : 1;
        if (each.silent && now - each.last_sign >= options_.silence_lifetime)
        {
            end_silence(each, now);
        }
        std::erase_if(each.upstreams,
                      [&](const silent_upstream& upstream) { return now - upstream.sent_at >= options_.window; });
        // Not with each sign: when this host's own link fails, the signs of the other data centres
        // follow a moment later.
        evaluate(each, now);
    }
}

bool data_centre_evidence::is_silent(const std::string& data_centre) const
{
    const auto* known = any_silent() ? find(data_centre) : nullptr;
    return known != nullptr && known->silent;
}

base::time_point data_centre_evidence::last_answer(const std::string& data_centre) const
{
    const auto* known = find(data_centre);
    return known != nullptr ? known->last_answer : base::time_point{};
}

bool data_centre_evidence::take_trial(const std::string& data_centre, base::time_point now)
{
    auto& silent = record_of(data_centre);
    const auto since = now - silent.last_trial;
    const bool due = ++silent.flows_since_trial >= options_.flows_per_trial && since >= options_.trial_interval;
    if (!silent.silent || (!due && since < options_.longest_trial_interval))
    {
        return false;
    }
    silent.last_trial = now;
    silent.flows_since_trial = 0;
    ++trial_count_;
    return true;
}

} // namespace galenabay::steer
