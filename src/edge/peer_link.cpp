#include "peer_link.hpp"

#include <galenabay/base/log.hpp>

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

namespace galenabay::edge
{

peer_link::peer_link(net::udp_socket socket, peers::fleet_exchange exchange, edge_metrics& metrics)
    : socket_{std::move(socket)}, exchange_{std::move(exchange)}, metrics_{metrics}, buffers_(net::batch_size)
{
}

bool peer_link::receive(base::time_point now, const std::function<void(const peers::fleet_exchange::effects&)>& apply)
{
    std::array<net::packet*, net::batch_size> batch{};
    std::transform(buffers_.begin(), buffers_.end(), batch.begin(), [](net::packet& buffer) { return &buffer; });
    const auto got = net::receive_batch(socket_.descriptor(), batch);
    bool view_changed = false;
    std::vector<peers::outgoing_message> replies;
    for (std::size_t i = 0; i < got.received; ++i)
    {
        const auto decoded = peers::decode_message(batch[i]->payload());
        if (!decoded)
        {
            metrics_.malformed_packets.Increment();
            if (refused_.allow(now))
            {
                base::log_event{base::log_level::warning, "peer_message_refused"}
                    .with("address", batch[i]->peer.to_string())
                    .with(decoded.error());
            }
            continue;
        }
        metrics_.peer_messages.Increment();
        metrics_.peer_bytes_received.Increment(static_cast<double>(batch[i]->payload().size()));
        if (const auto* relayed = std::get_if<peers::relayed_syn>(&decoded.value()); relayed != nullptr)
        {
            relayed_.push_back(*relayed);
            continue;
        }
        auto effects = exchange_.on_message(decoded.value(), batch[i]->peer, now);
        view_changed = view_changed || effects.view_changed;
        apply(effects);
        std::move(effects.messages.begin(), effects.messages.end(), std::back_inserter(replies));
    }
    // The buffers of the batch are free to send from only now.
    send(replies);
    return view_changed;
}

void peer_link::send(const std::vector<peers::outgoing_message>& messages)
{
    for (const auto& one : messages)
    {
        send(peers::encode(one.content), one.to);
    }
}

void peer_link::send(const std::vector<std::byte>& bytes, const std::vector<base::endpoint>& to)
{
    for (std::size_t begin = 0; begin < to.size(); begin += buffers_.size())
    {
        std::array<net::packet*, net::batch_size> batch{};
        const auto count = std::min(buffers_.size(), to.size() - begin);
        for (std::size_t i = 0; i < count; ++i)
        {
            batch[i] = &buffers_[i];
            batch[i]->peer = to[begin + i];
            if (!batch[i]->assign(bytes))
            {
                metrics_.send_failures.Increment();
                return;
            }
        }
        // The next status replaces a lost one, and hosts read the changes that they missed.
        const auto refused = net::send_all(socket_.descriptor(), std::span{batch}.first(count));
        metrics_.peer_bytes_sent.Increment(static_cast<double>((count - refused) * bytes.size()));
        metrics_.send_failures.Increment(static_cast<double>(refused));
    }
}

} // namespace galenabay::edge
