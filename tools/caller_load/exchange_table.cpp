#include "exchange_table.hpp"

#include <algorithm>

namespace galenabay::stand_in
{

namespace
{

constexpr std::uint32_t loopback = 0x7f000001;

} // namespace

base::result<exchange_table> exchange_table::make(const load_settings& settings, host_list& hosts)
{
    exchange_table made{settings, hosts};
    for (std::size_t caller = 0; caller < settings.callers; ++caller)
    {
        BOOST_OUTCOME_TRY(socket, datagram_socket::bind(base::endpoint::make_v4(loopback, 0), settings.faults,
                                                        settings.seed * 10'007 + caller));
        made.sockets_.push_back(std::move(socket));
        made.next_message_id_.push_back(static_cast<std::uint16_t>(made.random_()));
    }
    return made;
}

exchange_table::exchange_table(const load_settings& settings, host_list& hosts)
    : settings_{settings}, hosts_{&hosts}, random_{settings.seed}
{
}

void exchange_table::schedule(std::uint64_t token, exchange& item, base::time_point due)
{
    item.due = due;
    schedule_.emplace(due, token);
}

void exchange_table::send(const outgoing_request& request, base::time_point now)
{
    auto message = request.message;
    message.message_id = next_message_id_[request.caller]++;
    auto encoded = wire::encode_coap(message);
    if (!encoded)
    {
        return;
    }
    const double spread = 1 + 0.5 * random_.unit();
    exchange added;
    added.caller = request.caller;
    added.port = request.port;
    added.message_id = message.message_id;
    added.bytes = std::move(encoded).value();
    added.started = now;
    added.timeout =
        base::duration{static_cast<std::int64_t>(static_cast<double>(settings_.ack_timeout.count()) * spread)};
    sockets_[added.caller].send(added.bytes, hosts_->pick(added.port), now);
    schedule(message.token, added, now + added.timeout);
    tokens_[{added.caller, added.message_id}] = message.token;
    open_[message.token] = std::move(added);
}

std::vector<exchange_event> exchange_table::on_readable(std::size_t caller, base::time_point now)
{
    std::vector<exchange_event> events;
    std::vector<std::byte> bytes;
    while (const auto sender = sockets_[caller].receive(bytes))
    {
        if (auto event = read(caller, *sender, bytes, now))
        {
            events.push_back(std::move(*event));
        }
    }
    return events;
}

std::optional<exchange_event> exchange_table::read(std::size_t caller, const base::endpoint& sender,
                                                   const std::vector<std::byte>& bytes, base::time_point now)
{
    const auto parsed = wire::parse_coap(bytes);
    if (!parsed)
    {
        return std::nullopt;
    }
    const auto& view = parsed.value();
    if (view.is_empty())
    {
        return on_empty(caller, view, sender.port(), now);
    }
    if (!view.is_response())
    {
        return std::nullopt;
    }
    exchange_event event{event_kind::unmatched, caller, sender.port(), view.token, {}, {}, {}};
    if (const auto found = open_.find(view.token); found != open_.end() && found->second.caller == caller)
    {
        event = close(found, event_kind::answered, now);
        event.port = sender.port();
    }
    event.view = view;
    event.payload.assign(bytes.begin() + static_cast<std::ptrdiff_t>(view.payload_offset), bytes.end());
    return event;
}

std::optional<exchange_event> exchange_table::on_empty(std::size_t caller, const wire::coap_view& view,
                                                       std::uint16_t port, base::time_point now)
{
    const auto token = tokens_.find({caller, view.message_id});
    const auto found = token == tokens_.end() ? open_.end() : open_.find(token->second);
    if (found == open_.end() || found->second.port != port)
    {
        return std::nullopt;
    }
    if (view.type == wire::coap_type::acknowledgement)
    {
        found->second.acknowledged = true;
        return std::nullopt;
    }
    return close(found, event_kind::reset, now);
}

exchange_event exchange_table::close(std::map<std::uint64_t, exchange>::iterator at, event_kind kind,
                                     base::time_point now)
{
    const auto& item = at->second;
    exchange_event event{kind, item.caller, item.port, at->first, {}, {}, now - item.started};
    tokens_.erase({item.caller, item.message_id});
    open_.erase(at);
    return event;
}

std::vector<exchange_event> exchange_table::on_tick(base::time_point now)
{
    for (auto& socket : sockets_)
    {
        socket.on_tick(now);
    }
    std::vector<exchange_event> events;
    while (!schedule_.empty() && schedule_.begin()->first <= now)
    {
        const auto [time, token] = *schedule_.begin();
        schedule_.erase(schedule_.begin());
        const auto found = open_.find(token);
        if (found == open_.end() || found->second.due != time)
        {
            continue;
        }
        auto& item = found->second;
        const auto last = item.started + settings_.answer_timeout;
        if (now >= last)
        {
            events.push_back(close(found, event_kind::timed_out, now));
            continue;
        }
        if (item.acknowledged || item.transmissions > settings_.max_retransmit)
        {
            schedule(token, item, last);
            continue;
        }
        sockets_[item.caller].send(item.bytes, hosts_->pick(item.port), now);
        ++item.transmissions;
        item.timeout *= 2;
        schedule(token, item, std::min(now + item.timeout, last));
    }
    return events;
}

void exchange_table::acknowledge(const exchange_event& event, base::time_point now)
{
    if (event.view.type == wire::coap_type::confirmable)
    {
        send_empty(event, wire::coap_type::acknowledgement, now);
    }
}

void exchange_table::reset(const exchange_event& event, base::time_point now)
{
    send_empty(event, wire::coap_type::reset, now);
}

void exchange_table::send_empty(const exchange_event& event, wire::coap_type type, base::time_point now)
{
    wire::coap_message message;
    message.type = type;
    message.message_id = event.view.message_id;
    if (const auto encoded = wire::encode_coap(message); encoded.has_value())
    {
        sockets_[event.caller].send(encoded.value(), hosts_->pick(event.port), now);
    }
}

} // namespace galenabay::stand_in
