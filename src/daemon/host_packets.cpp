#include "packet_path.hpp"

#include <string>
#include <variant>

namespace galenabay::daemon
{

bool packet_path::is_known_host(const std::string& name, const base::endpoint& sender) const
{
    const auto found = relay_addresses_.find(name);
    return found != relay_addresses_.end() && found->second == sender;
}

void packet_path::on_host_packet(net::packet* received, base::time_point now)
{
    auto message = wire::decode_peer_datagram(received->payload());
    if (!message)
    {
        metrics_.add(metric::dropped_malformed_peer);
        outbox_.discard(received);
        return;
    }
    const std::string from = message.value().from;
    if (!is_known_host(from, received->peer))
    {
        metrics_.add(metric::dropped_unknown_host);
        outbox_.discard(received);
        return;
    }
    auto& body = message.value().body;
    if (auto* relayed = std::get_if<wire::relayed_packet>(&body))
    {
        if (received->assign(relayed->payload))
        {
            on_caller_packet({received, relayed->service, relayed->caller, relayed->hops}, now);
            return;
        }
    }
    else if (const auto* intent = std::get_if<wire::intent>(&body))
    {
        carry_out(dispatcher_.on_intent(from, intent->request, intent->upstream, intent->sequence, now));
    }
    else if (const auto* reply = std::get_if<wire::intent_reply>(&body))
    {
        carry_out(dispatcher_.on_intent_reply(from, reply->request, reply->sequence, reply->accepted, now));
    }
    else if (const auto* flows = std::get_if<wire::flow_batch>(&body))
    {
        steering_.on_records(flows->records, now);
    }
    outbox_.discard(received);
}

} // namespace galenabay::daemon
