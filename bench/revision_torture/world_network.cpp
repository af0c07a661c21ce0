#include "world.hpp"

#include <galenabay/config/codec.hpp>

namespace galenabay::revision_torture
{

namespace
{

using namespace std::chrono_literals;

constexpr auto heartbeat_interval = 500ms;

} // namespace

void world::start_platform_fetch(host& requester, const revision::fetch_from_platform& fetch)
{
    const auto index = index_of(requester.name);
    queue_.schedule(random_time(200ms), [this, index, incarnation = requester.incarnation, fetch]
                    { read_platform(index, incarnation, fetch, fetch.wait); });
}

void world::read_platform(std::size_t index, std::uint64_t incarnation, revision::fetch_from_platform fetch,
                          base::duration left)
{
    auto& requester = hosts_[index];
    if (requester.incarnation != incarnation)
    {
        return;
    }
    if (is_paused(requester))
    {
        queue_.schedule(requester.paused_until - queue_.now() + 1ms,
                        [this, index, incarnation, fetch] { read_platform(index, incarnation, fetch, 0ms); });
        return;
    }
    const auto reader = requester.reader; // outlives a restart of the host
    const auto found = reader->read();
    if (requester.incarnation != incarnation)
    {
        return;
    }
    if (!found)
    {
        perform(requester, requester.follower->on_platform_failure(now()));
        return;
    }
    const auto& stored = found.value();
    if (!stored || (fetch.wait.count() > 0 && stored->revision.number == fetch.after))
    {
        if (left <= 0ms)
        {
            perform(requester, requester.follower->on_platform_unchanged(now()));
            return;
        }
        queue_.schedule(300ms, [this, index, incarnation, fetch, left]
                        { read_platform(index, incarnation, fetch, left - 300ms); });
        return;
    }
    perform(requester, requester.follower->on_platform_revision(stored->revision, now()));
}

void world::start_peer_fetch(host& requester, const revision::fetch_from_peer& fetch)
{
    const auto from = index_of(requester.name);
    const auto to = index_of(fetch.host);
    queue_.schedule(random_time(300ms), [this, from, to, incarnation = requester.incarnation, after = fetch.after]
                    { serve_peer(from, to, incarnation, after); });
}

void world::serve_peer(std::size_t from, std::size_t to, std::uint64_t incarnation, std::uint64_t after)
{
    auto& requester = hosts_[from];
    auto& peer = hosts_[to];
    if (requester.incarnation != incarnation)
    {
        return;
    }
    if (is_paused(peer) || !can_reach(requester, peer) || chance(10))
    {
        ++outcome_.faults;
        if (chance(50))
        {
            perform(requester, requester.follower->on_peer_failure(peer.name, now()));
        }
        return;
    }
    const auto bytes = peer.log.update_since(after);
    queue_.schedule(random_time(chance(10) ? 5s : 300ms),
                    [this, from, to, incarnation, bytes]
                    {
                        auto& receiver = hosts_[from];
                        if (receiver.incarnation != incarnation)
                        {
                            return;
                        }
                        const auto offered = config::decode_update(receiver.follower->current(), bytes);
                        perform(receiver,
                                offered ? receiver.follower->on_peer_revision(hosts_[to].name, offered.value(), now())
                                        : receiver.follower->on_peer_failure(hosts_[to].name, now()));
                    });
}

void world::heartbeat(host& sender)
{
    for (auto& receiver : hosts_)
    {
        if (&receiver == &sender || is_paused(sender) || !can_reach(sender, receiver) || chance(10))
        {
            continue;
        }
        const std::uint64_t number = sender.in_force ? sender.in_force->number : 0;
        queue_.schedule(random_time(chance(5) ? 10s : 100ms),
                        [this, &receiver, name = sender.name, number]
                        {
                            if (!is_paused(receiver))
                            {
                                perform(receiver, receiver.follower->on_peer_number(name, number, now()));
                            }
                        });
    }
    queue_.schedule(heartbeat_interval, [this, &sender] { heartbeat(sender); });
}

} // namespace galenabay::revision_torture
