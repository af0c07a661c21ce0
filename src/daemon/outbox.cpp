#include "outbox.hpp"

#include <utility>

namespace galenabay::daemon
{

outbox::outbox(std::string self, channels& links, packet_pool& pool, metric_table& metrics, int upstream_socket,
               int relay_socket)
    : self_{std::move(self)}, links_{links}, pool_{pool}, metrics_{metrics}, upstream_socket_{upstream_socket},
      relay_socket_{relay_socket}
{
}

net::packet* outbox::copy_to_packet(std::span<const std::byte> payload)
{
    net::packet* copy = pool_.acquire();
    if (copy == nullptr)
    {
        metrics_.add(metric::dropped_no_buffer);
        return nullptr;
    }
    if (!copy->assign(payload))
    {
        metrics_.add(metric::dropped_oversize);
        discard(copy);
        return nullptr;
    }
    return copy;
}

void outbox::push(net::packet* ready)
{
    pushed_ = true;
    if (!links_.decide_to_send.push(ready))
    {
        pool_.release(ready);
    }
}

void outbox::discard(net::packet* received)
{
    pool_.release(received);
}

void outbox::flush()
{
    if (std::exchange(pushed_, false))
    {
        links_.send_wakeup.notify();
    }
}

void outbox::forward(net::packet* received, config::service_id service, const wire::proxy_header& header,
                     const base::endpoint& upstream)
{
    header_bytes_.clear();
    wire::append_proxy_header(header, header_bytes_);
    if (!received->prepend(header_bytes_))
    {
        metrics_.add(metric::dropped_oversize);
        discard(received);
        return;
    }
    received->socket = upstream_socket_;
    received->peer = upstream;
    received->service = header.service;
    received->decided_service = service;
    received->to_upstream = true;
    metrics_.add(metric::packets_to_upstreams);
    push(received);
}

void outbox::reply(net::packet* received, int socket, const base::endpoint& caller)
{
    received->socket = socket;
    received->peer = caller;
    received->to_upstream = false;
    metrics_.add(metric::packets_to_callers);
    push(received);
}

void outbox::send_to_upstream(std::span<const std::byte> payload, config::service_id service,
                              const wire::proxy_header& header, const base::endpoint& upstream)
{
    if (net::packet* copy = copy_to_packet(payload))
    {
        forward(copy, service, header, upstream);
    }
}

void outbox::send_to_caller(std::span<const std::byte> payload, int socket, const base::endpoint& caller)
{
    if (net::packet* copy = copy_to_packet(payload))
    {
        reply(copy, socket, caller);
    }
}

void outbox::send_to_host(const base::endpoint& relay, const wire::peer_datagram& message)
{
    net::packet* copy = copy_to_packet(wire::encode_peer_datagram(message));
    if (copy == nullptr)
    {
        return;
    }
    copy->socket = relay_socket_;
    copy->peer = relay;
    copy->to_upstream = false;
    metrics_.add(metric::packets_to_hosts);
    push(copy);
}

} // namespace galenabay::daemon
