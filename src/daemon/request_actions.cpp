// The functions of packet_path that carry out the dispatcher's actions.

#include "packet_path.hpp"

#include <galenabay/base/hash.hpp>

#include <variant>

namespace galenabay::daemon
{

void packet_path::carry_out(const dispatch::actions& decided)
{
    for (const auto& each : decided)
    {
        std::visit([this](const auto& action) { carry_out(action); }, each);
    }
}

void packet_path::carry_out(const dispatch::send_to_upstream& action)
{
    const auto* entry = services_.find(action.service_address);
    if (entry == nullptr)
    {
        metrics_.add(metric::dropped_no_socket);
        return;
    }
    const wire::proxy_header header{action.caller, action.service_address, action.deadline_ms, action.attempt};
    outbox_.send_to_upstream(*action.bytes, entry->id, header, action.upstream);
}

void packet_path::carry_out(const dispatch::cancel_at_upstream& action)
{
    const auto* entry = services_.find(action.service_address);
    wire::coap_message reset;
    reset.type = wire::coap_type::reset;
    reset.message_id = action.message_id;
    const auto encoded = wire::encode_coap(reset);
    if (entry != nullptr && encoded)
    {
        outbox_.send_to_upstream(encoded.value(), entry->id, {action.caller, action.service_address, 0, 0},
                                 action.upstream);
    }
}

void packet_path::carry_out(const dispatch::deliver& action)
{
    if (const auto* entry = services_.find(action.service_address))
    {
        outbox_.send_to_caller(*action.bytes, entry->socket, action.caller);
    }
}

void packet_path::carry_out(const dispatch::refuse& action)
{
    wire::coap_message answer;
    answer.type = action.confirmable ? wire::coap_type::acknowledgement : wire::coap_type::non_confirmable;
    answer.code = action.known_not_run ? wire::code_unavailable : wire::code_gateway_timeout;
    answer.message_id = action.message_id;
    answer.token = action.token;
    answer.token_length = action.token_length;
    if (action.known_not_run)
    {
        answer.max_age = action.max_age_s;
    }
    send_coap(answer, action.service_address, action.caller);
}

void packet_path::carry_out(const dispatch::relay_request& action)
{
    const auto found = relay_addresses_.find(action.host);
    if (found == relay_addresses_.end())
    {
        metrics_.add(metric::dropped_unknown_host);
        return;
    }
    wire::relayed_packet relayed{action.service_address, action.caller, *action.bytes, 1};
    outbox_.send_to_host(found->second, {self_, std::move(relayed)});
}

void packet_path::carry_out(const dispatch::send_intent& action)
{
    if (const auto found = relay_addresses_.find(action.host); found != relay_addresses_.end())
    {
        outbox_.send_to_host(found->second, {self_, wire::intent{action.key, action.upstream, action.sequence}});
    }
}

void packet_path::carry_out(const dispatch::send_intent_reply& action)
{
    if (const auto found = relay_addresses_.find(action.host); found != relay_addresses_.end())
    {
        outbox_.send_to_host(found->second, {self_, wire::intent_reply{action.key, action.sequence, action.accepted}});
    }
}

} // namespace galenabay::daemon
