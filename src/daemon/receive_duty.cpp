#include "receive_duty.hpp"

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
constexpr std::size_t polled_descriptors = 64;
/// Batches read from one socket before the next socket gets its turn.
constexpr int batches_per_turn = 4;
constexpr std::chrono::microseconds pool_retry_delay{200};

} // namespace

receive_duty::receive_duty(channels& links, packet_pool& pool, metric_board& metrics, const thread_state& state,
                           const udp_socket& upstream_socket, const udp_socket& relay_socket)
    : links_{links}, pool_{pool}, metrics_{metrics}, state_{state}, poller_{epoll_create1(EPOLL_CLOEXEC)},
      cut_{std::make_shared<cut_addresses>()}
{
    GALENABAY_INVARIANT(poller_ >= 0);
    add(upstream_socket.descriptor(), {packet_origin::upstream, {}});
    add(relay_socket.descriptor(), {packet_origin::host, {}});
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = links_.receive_waker.descriptor();
    epoll_ctl(poller_, EPOLL_CTL_ADD, event.data.fd, &event);
}

receive_duty::~receive_duty()
{
    for (packet* unused : batch_)
    {
        pool_.give_back(unused);
    }
    close(poller_);
}

void receive_duty::add(int descriptor, const source& from)
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = descriptor;
    epoll_ctl(poller_, EPOLL_CTL_ADD, descriptor, &event);
    sources_[descriptor] = from;
}

void receive_duty::apply_changes()
{
    for (socket_change change; links_.decide_to_receive.pop(change);)
    {
        if (change.open)
        {
            add(change.descriptor, {packet_origin::caller, change.service});
        }
        else
        {
            epoll_ctl(poller_, EPOLL_CTL_DEL, change.descriptor, nullptr);
            sources_.erase(change.descriptor);
        }
    }
    for (send_rules rules; links_.control_to_receive_rules.pop(rules);)
    {
        if (const auto* cut = std::get_if<std::shared_ptr<const cut_addresses>>(&rules))
        {
            cut_ = *cut;
        }
    }
}

bool receive_duty::fill_batch()
{
    while (batch_.size() < batch_size)
    {
        packet* free_packet = pool_.take();
        if (free_packet == nullptr)
        {
            break;
        }
        batch_.push_back(free_packet);
    }
    return !batch_.empty();
}

bool receive_duty::is_cut(const packet& received) const
{
    return !cut_->empty() && cut_->contains(received.peer.address_string());
}

void receive_duty::count_origin(packet_origin origin)
{
    switch (origin)
    {
    case packet_origin::caller:
        return metrics_.add(metric::packets_from_callers);
    case packet_origin::upstream:
        return metrics_.add(metric::packets_from_upstreams);
    case packet_origin::host:
        return metrics_.add(metric::packets_from_hosts);
    }
}

void receive_duty::pass_on(packet* received, const source& from)
{
    count_origin(from.origin);
    received->origin = from.origin;
    received->service = from.service;
    received->to_upstream = false;
    if (received->payload().empty() || is_cut(*received))
    {
        metrics_.add(received->payload().empty() ? metric::dropped_oversize : metric::dropped_cut);
        pool_.give_back(received);
        return;
    }
    if (!links_.receive_to_decide.push(received))
    {
        pool_.give_back(received);
    }
}

void receive_duty::read_from(int descriptor)
{
    const auto found = sources_.find(descriptor);
    if (found == sources_.end())
    {
        return;
    }
    const source from = found->second;
    for (int turn = 0; turn < batches_per_turn; ++turn)
    {
        if (!fill_batch())
        {
            metrics_.add(metric::dropped_no_buffer);
            std::this_thread::sleep_for(pool_retry_delay);
            return;
        }
        const std::size_t asked = batch_.size();
        const auto outcome = receive_batch(descriptor, batch_);
        for (std::size_t i = 0; i < outcome.received; ++i)
        {
            pass_on(batch_[i], from);
        }
        batch_.erase(batch_.begin(), batch_.begin() + static_cast<std::ptrdiff_t>(outcome.received));
        if (outcome.received > 0)
        {
            links_.decide_waker.notify();
        }
        if (outcome.received < asked)
        {
            return;
        }
    }
}

void receive_duty::run()
{
    std::array<epoll_event, polled_descriptors> events{};
    while (!state_.stop.load(std::memory_order_relaxed))
    {
        links_.receive_waker.prepare();
        apply_changes();
        const int count = epoll_wait(poller_, events.data(), static_cast<int>(events.size()), poll_timeout_ms);
        links_.receive_waker.cancel();
        for (int i = 0; i < count; ++i)
        {
            const int descriptor = events[static_cast<std::size_t>(i)].data.fd;
            if (descriptor == links_.receive_waker.descriptor())
            {
                links_.receive_waker.clear();
            }
            else
            {
                read_from(descriptor);
            }
        }
    }
}

} // namespace galenabay::daemon
