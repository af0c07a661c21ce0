#include "receive_worker.hpp"

#include <galenabay/base/invariant.hpp>

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <thread>
#include <utility>

namespace galenabay::daemon
{

namespace
{

constexpr int poll_timeout_ms = 100;
constexpr std::size_t max_epoll_events = 64;
/// Limit of the batches read from one socket before the next socket is read.
constexpr int max_batches_per_socket = 4;
/// Sleep when no packet buffer is free.
constexpr std::chrono::microseconds pool_retry_delay{200};

} // namespace

receive_worker::receive_worker(channels& links, packet_pool& pool, metric_table& metrics, const thread_state& state,
                               const net::udp_socket& upstream_socket, const net::udp_socket& relay_socket)
    : links_{links}, pool_{pool}, metrics_{metrics}, state_{state}, epoll_{epoll_create1(EPOLL_CLOEXEC)},
      blocked_{std::make_shared<blocked_addresses>()}
{
    GALENABAY_INVARIANT(epoll_ >= 0);
    add(upstream_socket.descriptor(), {net::packet_origin::upstream, {}});
    add(relay_socket.descriptor(), {net::packet_origin::host, {}});
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = links_.receive_wakeup.descriptor();
    epoll_ctl(epoll_, EPOLL_CTL_ADD, event.data.fd, &event);
}

receive_worker::~receive_worker()
{
    for (net::packet* unused : batch_)
    {
        pool_.release(unused);
    }
    close(epoll_);
}

void receive_worker::add(int descriptor, const source& from)
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = descriptor;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event);
    sources_[descriptor] = from;
}

void receive_worker::apply_changes()
{
    for (socket_change change; links_.decide_to_receive.pop(change);)
    {
        if (change.open)
        {
            add(change.descriptor, {net::packet_origin::caller, change.service});
        }
        else
        {
            epoll_ctl(epoll_, EPOLL_CTL_DEL, change.descriptor, nullptr);
            sources_.erase(change.descriptor);
        }
    }
    for (address_rules rules; links_.control_to_receive_rules.pop(rules);)
    {
        if (const auto* blocked = std::get_if<std::shared_ptr<const blocked_addresses>>(&rules))
        {
            blocked_ = *blocked;
        }
    }
}

bool receive_worker::fill_batch()
{
    while (batch_.size() < net::batch_size)
    {
        net::packet* free_packet = pool_.acquire();
        if (free_packet == nullptr)
        {
            break;
        }
        batch_.push_back(free_packet);
    }
    return !batch_.empty();
}

bool receive_worker::is_blocked(const net::packet& received) const
{
    return !blocked_->empty() && blocked_->contains(received.peer.address_string());
}

void receive_worker::count_received(net::packet_origin origin)
{
    switch (origin)
    {
    case net::packet_origin::caller:
        return metrics_.add(metric::packets_from_callers);
    case net::packet_origin::upstream:
        return metrics_.add(metric::packets_from_upstreams);
    case net::packet_origin::host:
        return metrics_.add(metric::packets_from_hosts);
    }
}

void receive_worker::enqueue(net::packet* received, const source& from)
{
    count_received(from.origin);
    received->origin = from.origin;
    received->service = from.service;
    received->to_upstream = false;
    if (received->payload().empty() || is_blocked(*received))
    {
        metrics_.add(received->payload().empty() ? metric::dropped_oversize : metric::dropped_cut);
        pool_.release(received);
        return;
    }
    if (!links_.receive_to_decide.push(received))
    {
        pool_.release(received);
    }
}

void receive_worker::read_from(int descriptor)
{
    const auto found = sources_.find(descriptor);
    if (found == sources_.end())
    {
        return;
    }
    const source from = found->second;
    for (int batch = 0; batch < max_batches_per_socket; ++batch)
    {
        if (!fill_batch())
        {
            metrics_.add(metric::dropped_no_buffer);
            std::this_thread::sleep_for(pool_retry_delay);
            return;
        }
        const std::size_t requested = batch_.size();
        const auto outcome = net::receive_batch(descriptor, batch_);
        for (std::size_t i = 0; i < outcome.received; ++i)
        {
            enqueue(batch_[i], from);
        }
        batch_.erase(batch_.begin(), batch_.begin() + static_cast<std::ptrdiff_t>(outcome.received));
        if (outcome.received > 0)
        {
            links_.decide_wakeup.notify();
        }
        if (outcome.received < requested)
        {
            return;
        }
    }
}

void receive_worker::run()
{
    std::array<epoll_event, max_epoll_events> events{};
    while (!state_.stop.load(std::memory_order_relaxed))
    {
        links_.receive_wakeup.prepare();
        apply_changes();
        const int count = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), poll_timeout_ms);
        links_.receive_wakeup.cancel();
        for (int i = 0; i < count; ++i)
        {
            const int descriptor = events[static_cast<std::size_t>(i)].data.fd;
            if (descriptor == links_.receive_wakeup.descriptor())
            {
                links_.receive_wakeup.clear();
            }
            else
            {
                read_from(descriptor);
            }
        }
    }
}

} // namespace galenabay::daemon
