#include <galenabay/dispatch/dispatcher.hpp>

#include "dispatcher_state.hpp"

#include <utility>

namespace galenabay::dispatch
{

dispatcher::dispatcher(dispatcher_settings settings) : state_{std::make_unique<state>(std::move(settings))} {}
dispatcher::dispatcher(dispatcher&&) noexcept = default;
dispatcher& dispatcher::operator=(dispatcher&&) noexcept = default;
dispatcher::~dispatcher() = default;

void dispatcher::on_revision(const config::accepted_revision& revision, base::time_point now)
{
    state_->on_revision(revision, now);
}

actions dispatcher::on_hosts(std::span<const membership::live_host> hosts, base::time_point now)
{
    return state_->on_hosts(hosts, now);
}

void dispatcher::on_listed_hosts(std::span<const membership::listed_host> hosts, base::time_point now)
{
    state_->on_listed_hosts(hosts, now);
}

actions dispatcher::on_request(const request& arrived, bool relayed, base::time_point now)
{
    return state_->on_request(arrived, relayed, now);
}

actions dispatcher::on_answer(const answer& arrived, base::time_point now)
{
    return state_->on_answer(arrived, now);
}

bool dispatcher::expects(const answer& arrived) const
{
    return state_->expects(arrived);
}

actions dispatcher::on_intent(const std::string& from, request_key key, config::upstream_id upstream,
                              std::uint64_t sequence, base::time_point now)
{
    return state_->on_intent(from, key, upstream, sequence, now);
}

actions dispatcher::on_intent_reply(const std::string& from, request_key key, std::uint64_t sequence, bool accepted,
                                    base::time_point now)
{
    return state_->on_intent_reply(from, key, sequence, accepted, now);
}

void dispatcher::on_health(config::upstream_id upstream, bool healthy, std::uint32_t /*running*/,
                           base::time_point /*now*/)
{
    state_->on_health(upstream, healthy);
}

actions dispatcher::on_tick(base::time_point now)
{
    return state_->on_tick(now);
}

actions dispatcher::on_leave(base::time_point now)
{
    return state_->on_leave(now);
}

std::size_t dispatcher::open_requests() const noexcept
{
    return state_->open_requests();
}

const dispatcher_counters& dispatcher::counters() const noexcept
{
    return state_->counters();
}

} // namespace galenabay::dispatch
