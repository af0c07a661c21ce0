// The part of packet_path that carries out what the dispatcher decided.

#include "packet_path.hpp"

#include <galenabay/base/hash.hpp>

#include <variant>

namespace galenabay::daemon
{

void packet_path::carry_out(const dispatch::actions& decided)
{
    for (const auto& each : decided)
    {
        std::visit([this](const auto& what) { carry_out(what); }, each);
    }
}

void packet_path::carry_out(const dispatch::send_to_upstream& what)
{
    const auto* entry = services_.find(what.service_address);
    if (entry == nullptr)
    {
        metrics_.add(metric::dropped_no_socket);
        return;
    }
    const wire::proxy_header header{what.caller, what.service_address, what.deadline_ms, what.attempt};
    outbox_.send_to_upstream(*what.bytes, entry->id, header, what.upstream);
}

void packet_path::carry_out(const dispatch::cancel_at_upstream& what)
{
    const auto* entry = services_.find(what.service_address);
    wire::coap_message reset;
    reset.type = wire::coap_type::reset;
    reset.message_id = what.message_id;
    const auto encoded = wire::encode_coap(reset);
    if (entry != nullptr && encoded)
    {
        outbox_.send_to_upstream(encoded.value(), entry->id, {what.caller, what.service_address, 0, 0}, what.upstream);
    }
}

void packet_path::carry_out(const dispatch::deliver& what)
{
    if (const auto* entry = services_.find(what.service_address))
    {
        outbox_.send_to_caller(*what.bytes, entry->socket, what.caller);
    }
}

void packet_path::carry_out(const dispatch::refuse& what)
{
    wire::coap_message answer;
    answer.type = what.confirmable ? wire::coap_type::acknowledgement : wire::coap_type::non_confirmable;
    answer.code = what.known_not_run ? wire::code_unavailable : wire::code_gateway_timeout;
    answer.message_id = what.message_id;
    answer.token = what.token;
    answer.token_length = what.token_length;
    if (what.known_not_run)
    {
        answer.max_age = what.max_age_s;
    }
    send_coap(answer, what.service_address, what.caller);
}

void packet_path::carry_out(const dispatch::relay_request& what)
{
    const auto found = relays_.find(what.host);
    if (found == relays_.end())
    {
        metrics_.add(metric::dropped_unknown_host);
        return;
    }
    wire::relayed_packet relayed{what.service_address, what.caller, *what.bytes, 1};
    outbox_.send_to_host(found->second, {self_, std::move(relayed)});
}

void packet_path::carry_out(const dispatch::send_intent& what)
{
    if (const auto found = relays_.find(what.host); found != relays_.end())
    {
        outbox_.send_to_host(found->second, {self_, wire::intent{what.key, what.upstream, what.sequence}});
    }
}

void packet_path::carry_out(const dispatch::send_intent_reply& what)
{
    if (const auto found = relays_.find(what.host); found != relays_.end())
    {
        outbox_.send_to_host(found->second, {self_, wire::intent_reply{what.key, what.sequence, what.accepted}});
    }
}

} // namespace galenabay::daemon
