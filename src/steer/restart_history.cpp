#include <galenabay/steer/restart_history.hpp>

#include <algorithm>
#include <cmath>

namespace galenabay::steer
{

std::uint32_t restart_history::on_listed(const upstream_entry& entry, base::time_point now)
{
    if (options_.window == base::duration{0})
    {
        return 0;
    }
    const auto token = token_of(entry);
    const auto [found, is_new] = rows_.try_emplace(key_of(entry));
    auto& known = found->second;
    const bool is_next = !is_new && known.token != token;
    // The earlier incarnation may still be listed: its address is in use again, so it has ended.
    const bool is_relapse = is_next && !known.draining && now - known.gone_since.value_or(now) <= options_.window;
    if (is_relapse)
    {
        known.relapses = std::min(relapses_of(known, now) + 1, options_.max_relapses);
        known.relapsed_at = now;
        last_relapse_ = now;
    }
    known.token = token;
    known.draining = entry.draining;
    known.gone_since.reset();
    return is_relapse ? known.relapses : 0;
}

void restart_history::on_gone(const upstream_entry& entry, base::time_point now)
{
    const auto found = rows_.find(key_of(entry));
    if (found != rows_.end() && found->second.token == token_of(entry))
    {
        found->second.gone_since = found->second.gone_since.value_or(now);
    }
}

bool restart_history::has_effect(base::time_point now) const
{
    // Longer than the interval at which factors are applied.
    constexpr base::duration margin = std::chrono::seconds{5};
    return last_relapse_ && now - *last_relapse_ <= options_.window + margin;
}

void restart_history::expire(base::time_point now)
{
    if (now - expired_at_ < options_.window)
    {
        return;
    }
    expired_at_ = now;
    std::erase_if(rows_,
                  [&](const auto& entry)
                  {
                      const auto& known = entry.second;
                      return known.gone_since && now - *known.gone_since > options_.window &&
                             relapses_of(known, now) == 0;
                  });
}

std::uint32_t restart_history::relapses_of(const row& known, base::time_point now) const
{
    return now - known.relapsed_at > options_.window ? 0 : known.relapses;
}

const restart_history::row* restart_history::find(const upstream_entry& entry) const
{
    const auto found = rows_.find(key_of(entry));
    return found == rows_.end() ? nullptr : &found->second;
}

double restart_history::load_factor(const upstream_entry& entry, base::time_point now) const
{
    const auto* known = find(entry);
    if (known == nullptr || relapses_of(*known, now) == 0)
    {
        return 1;
    }
    const auto seconds = [](base::duration time) { return std::chrono::duration<double>(time).count(); };
    const double passed = seconds(now - known->relapsed_at) / seconds(options_.window);
    const double left = std::min((1 - passed) / (1 - options_.held_part), 1.0);
    return std::exp2(left * known->relapses);
}

double restart_history::rate_factor(const upstream_entry& entry, base::time_point now) const
{
    const auto* known = find(entry);
    return known == nullptr ? 1 : std::exp2(-static_cast<double>(relapses_of(*known, now)));
}

} // namespace galenabay::steer
