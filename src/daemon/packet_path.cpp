#include "packet_path.hpp"

#include <galenabay/base/hash.hpp>

#include <array>
#include <span>
#include <utility>

namespace galenabay::daemon
{

namespace
{

constexpr base::duration steering_tick_interval{100'000};
constexpr std::uint32_t refused_registration_max_age_s = 2;

flow::steering_settings steering_settings_of(const config::host_settings& settings, std::uint64_t seed)
{
    flow::steering_settings result;
    result.self = settings.name;
    result.table_size = settings.flow_table_size;
    result.seed = seed;
    return result;
}

dispatch::dispatcher_settings dispatcher_settings_of(const config::host_settings& settings, std::uint64_t seed)
{
    dispatch::dispatcher_settings result;
    result.self = settings.name;
    result.data_centre = settings.data_centre;
    result.seed = seed;
    return result;
}

dispatch::datagram copy_of(std::span<const std::byte> bytes)
{
    return std::make_shared<const std::vector<std::byte>>(bytes.begin(), bytes.end());
}

/// Returns a key that is equal for all retransmissions of an exchange; different exchanges differ in a hashed part.
dispatch::request_key key_of(const base::endpoint& caller, config::service_id service, const wire::coap_view& view)
{
    const std::array<std::uint64_t, 3> exchange{view.token, (std::uint64_t{view.message_id} << 8U) | view.token_length,
                                                base::hash_endpoint(caller)};
    return base::hash_bytes(std::as_bytes(std::span{exchange}), service);
}

/// Observe registrations are steered like flows; every other request is dispatched.
bool should_dispatch(const wire::coap_view& view)
{
    return view.is_request() && !view.observe;
}

/// Returns the type of a response that the balancer itself sends.
wire::coap_type answer_type(bool confirmable)
{
    return confirmable ? wire::coap_type::acknowledgement : wire::coap_type::non_confirmable;
}

} // namespace

packet_path::packet_path(const config::host_settings& settings, std::uint64_t seed, channels& links, packet_pool& pool,
                         metric_table& metrics, const net::udp_socket& upstream_socket, int relay_socket)
    : self_{settings.name}, upstream_address_{upstream_socket.local()}, links_{links}, metrics_{metrics},
      services_{settings, links}, outbox_{settings.name, links, pool, metrics, upstream_socket.descriptor(),
                                          relay_socket},
      steering_{steering_settings_of(settings, seed)},
      dispatcher_{dispatcher_settings_of(settings, seed + 1)}, prober_{seed + 2}
{
}

void packet_path::on_packet(net::packet* received, base::time_point now)
{
    switch (received->origin)
    {
    case net::packet_origin::caller:
        return on_caller_packet({received, received->service, received->peer, 0}, now);
    case net::packet_origin::upstream:
        return on_upstream_packet(received, now);
    case net::packet_origin::host:
        return on_host_packet(received, now);
    }
}

void packet_path::on_caller_packet(const caller_packet& from, base::time_point now)
{
    const auto* entry = services_.find(from.service);
    if (entry != nullptr && entry->kind == config::service_kind::coap)
    {
        on_coap_packet(from, *entry, now);
        return;
    }
    steer(from, nullptr, now);
}

void packet_path::on_coap_packet(const caller_packet& from, const service_entry& entry, base::time_point now)
{
    const auto view = wire::parse_coap(from.received->payload());
    if (!view)
    {
        answer_malformed(from, entry);
        return;
    }
    if (should_dispatch(view.value()))
    {
        on_request(from, entry, view.value(), now);
        return;
    }
    if (view.value().is_request())
    {
        registrations_.add(from.caller, from.service, view.value().token, now);
    }
    steer(from, &view.value(), now);
}

void packet_path::answer_malformed(const caller_packet& from, const service_entry& entry)
{
    metrics_.add(metric::dropped_malformed_coap);
    const auto prefix = wire::parse_coap_prefix(from.received->payload());
    if (prefix && prefix->is_request())
    {
        wire::coap_message answer;
        answer.type = answer_type(prefix->type == wire::coap_type::confirmable);
        answer.code = wire::code_bad_request;
        answer.message_id = prefix->message_id;
        answer.token = prefix->token;
        answer.token_length = prefix->token_length;
        if (const auto encoded = wire::encode_coap(answer))
        {
            outbox_.send_to_caller(encoded.value(), entry.socket, from.caller);
        }
    }
    outbox_.discard(from.received);
}

void packet_path::on_request(const caller_packet& from, const service_entry& entry, const wire::coap_view& view,
                             base::time_point now)
{
    dispatch::request arrived;
    arrived.key = key_of(from.caller, entry.id, view);
    arrived.service = entry.id;
    arrived.service_address = from.service;
    arrived.caller = from.caller;
    arrived.token = view.token;
    arrived.token_length = view.token_length;
    arrived.message_id = view.message_id;
    arrived.confirmable = view.type == wire::coap_type::confirmable;
    arrived.method = static_cast<dispatch::method>(view.code);
    arrived.path = base::hash_text(view.path);
    arrived.block = view.block2 ? view.block2->number : 0;
    arrived.bytes = copy_of(from.received->payload());
    outbox_.discard(from.received);
    carry_out(dispatcher_.on_request(arrived, from.hops > 0, now));
}

void packet_path::steer(const caller_packet& from, const wire::coap_view* view, base::time_point now)
{
    carry_out(from, steering_.on_packet(from.caller, from.service, from.hops, now), view);
}

void packet_path::carry_out(const caller_packet& from, const flow::decision& decided, const wire::coap_view* view)
{
    if (decided.action == flow::verdict::forward)
    {
        const wire::proxy_header header{from.caller, from.service, 0, 0};
        outbox_.forward(from.received, decided.service, header, decided.upstream_endpoint);
        return;
    }
    if (decided.action == flow::verdict::relay && decided.relay_to < hosts_.size())
    {
        const auto payload = from.received->payload();
        const auto hops = static_cast<std::uint8_t>(from.hops + 1);
        wire::relayed_packet relayed{from.service, from.caller, {payload.begin(), payload.end()}, hops};
        outbox_.send_to_host(hosts_[decided.relay_to].relay, {self_, std::move(relayed)});
    }
    else if (view != nullptr && view->is_request())
    {
        refuse_registration(from, *view);
    }
    outbox_.discard(from.received);
}

void packet_path::refuse_registration(const caller_packet& from, const wire::coap_view& view)
{
    wire::coap_message answer;
    answer.type = answer_type(view.type == wire::coap_type::confirmable);
    answer.code = wire::code_unavailable;
    answer.message_id = view.message_id;
    answer.token = view.token;
    answer.token_length = view.token_length;
    answer.max_age = refused_registration_max_age_s;
    send_coap(answer, from.service, from.caller);
}

void packet_path::send_coap(const wire::coap_message& message, const base::endpoint& service,
                            const base::endpoint& caller)
{
    const auto* entry = services_.find(service);
    if (entry == nullptr)
    {
        metrics_.add(metric::dropped_no_socket);
        return;
    }
    if (const auto encoded = wire::encode_coap(message))
    {
        outbox_.send_to_caller(encoded.value(), entry->socket, caller);
    }
}

void packet_path::on_upstream_packet(net::packet* received, base::time_point now)
{
    const auto parsed = wire::parse_proxied(received->payload());
    if (!parsed)
    {
        metrics_.add(metric::dropped_malformed_proxy);
        outbox_.discard(received);
        return;
    }
    const auto header = parsed.value().header;
    const auto header_size = received->payload().size() - parsed.value().payload.size();
    received->remove_prefix(header_size);
    if (!allowlist_.allows_any(header.service, received->peer))
    {
        metrics_.add(metric::dropped_unknown_upstream);
        outbox_.discard(received);
        return;
    }
    if (header.caller == upstream_address_)
    {
        on_probe_answer(*received, now);
        outbox_.discard(received);
        return;
    }
    return_to_caller(received, header, now);
}

void packet_path::return_to_caller(net::packet* received, const wire::proxy_header& header, base::time_point now)
{
    const auto* entry = services_.find(header.service);
    if (entry == nullptr)
    {
        metrics_.add(metric::dropped_no_socket);
        outbox_.discard(received);
        return;
    }
    if (entry->kind == config::service_kind::coap)
    {
        const auto view = wire::parse_coap(received->payload());
        if (!view)
        {
            metrics_.add(metric::dropped_malformed_coap);
            outbox_.discard(received);
            return;
        }
        if (handle_response(*received, header, view.value(), now))
        {
            outbox_.discard(received);
            return;
        }
    }
    steering_.on_upstream_packet(header.caller, header.service, received->peer, now);
    outbox_.reply(received, entry->socket, header.caller);
}

bool packet_path::handle_response(const net::packet& received, const wire::proxy_header& header,
                                  const wire::coap_view& view, base::time_point now)
{
    if (!view.is_response())
    {
        return false;
    }
    dispatch::answer arrived;
    arrived.service_address = header.service;
    arrived.caller = header.caller;
    arrived.upstream = received.peer;
    arrived.token = view.token;
    arrived.token_length = view.token_length;
    arrived.message_id = view.message_id;
    arrived.code = view.code;
    arrived.piggybacked = view.type == wire::coap_type::acknowledgement;
    arrived.more_blocks = view.block2 && view.block2->more;
    if (dispatcher_.expects(arrived))
    {
        arrived.bytes = copy_of(received.payload());
        carry_out(dispatcher_.on_answer(arrived, now));
        return true;
    }
    if (!view.observe && !registrations_.contains(header.caller, header.service, view.token, now))
    {
        // The request was answered, refused or abandoned; the caller may have reused the token since.
        metrics_.add(metric::request_stray_answers);
        return true;
    }
    return false;
}

void packet_path::on_probe_answer(const net::packet& received, base::time_point now)
{
    const auto view = wire::parse_coap(received.payload());
    if (!view)
    {
        metrics_.add(metric::dropped_malformed_coap);
        return;
    }
    const auto report = received.payload().subspan(view.value().payload_offset, view.value().payload_size);
    if (const auto change = prober_.on_answer(received.peer, view.value().token, report))
    {
        steering_.on_alive(change->upstream, now);
        apply_health(*change, now);
    }
}

void packet_path::apply_health(const health_change& change, base::time_point now)
{
    steering_.on_health(change.upstream, change.healthy, now);
    dispatcher_.on_health(change.upstream, change.healthy, change.running, now);
}

void packet_path::on_revision(const std::shared_ptr<const config::accepted_revision>& revision, base::time_point now)
{
    revision_ = revision;
    allowlist_ = upstream_allowlist{*revision};
    links_.decide_to_send_rules.push(std::make_shared<const upstream_allowlist>(allowlist_));
    services_.on_revision(*revision, now);
    steering_.on_revision(*revision, now);
    dispatcher_.on_revision(*revision, now);
    prober_.on_revision(*revision, now);
    metrics_.set(metric::revision_number, revision->number);
    metrics_.add(metric::revisions_adopted);
}

void packet_path::on_hosts(const std::vector<membership::live_host>& hosts, base::time_point now)
{
    hosts_ = hosts;
    for (const auto& host : hosts)
    {
        relay_addresses_[host.name] = host.relay;
    }
    steering_.on_hosts(hosts_, now);
    carry_out(dispatcher_.on_hosts(hosts_, now));
    metrics_.set(metric::hosts_live, hosts_.size());
}

void packet_path::on_listed_hosts(const std::vector<membership::listed_host>& hosts, base::time_point now)
{
    dispatcher_.on_listed_hosts(hosts, now);
}

void packet_path::on_records(const std::vector<flow::flow_record>& records, base::time_point now)
{
    steering_.on_records(records, now);
}

void packet_path::on_pause(base::time_point now)
{
    metrics_.add(metric::pauses_detected);
    steering_.on_tick(now, true);
}

void packet_path::on_leave(base::time_point now)
{
    carry_out(dispatcher_.on_leave(now));
}

void packet_path::on_tick(base::time_point now)
{
    carry_out(dispatcher_.on_tick(now));
    if (now < next_steering_tick_)
    {
        return;
    }
    next_steering_tick_ = now + steering_tick_interval;
    steering_.on_tick(now, false);
    services_.on_tick(now);
    std::vector<health_change> changes;
    for (const auto& due : prober_.on_tick(now, changes))
    {
        outbox_.send_to_upstream(due.bytes, due.service, {upstream_address_, due.service_address, 0, 0}, due.upstream);
    }
    for (const auto& change : changes)
    {
        apply_health(change, now);
    }
}

std::vector<outgoing_records> packet_path::take_records(std::size_t budget_bytes, base::time_point now)
{
    std::vector<outgoing_records> batches;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        if (hosts_[i].name == self_)
        {
            continue;
        }
        auto records = steering_.take_records(i, budget_bytes, now);
        if (!records.empty())
        {
            budget_bytes -= std::min(budget_bytes, records.size() * flow::flow_record::wire_size);
            batches.push_back({hosts_[i].name, std::move(records)});
        }
    }
    return batches;
}

} // namespace galenabay::daemon
