#include "dispatch_torture.hpp"

namespace galenabay::torture
{

void world::receive_at_upstream(const sender& from, std::size_t upstream, const send_to_upstream& sent)
{
    upstream_process& process = upstreams_[upstream];
    if (process.failed)
    {
        return;
    }
    caller_request& tracked = requests_.at(sent.key);
    trace(sent.key, {process.target.name, "receives the request from", hosts_[from.host].name});
    if (process.running >= process.target.slots || shedding_upstream_ == upstream)
    {
        ++counts_.sheds;
        send_answer(from, upstream, tracked.message, code_unavailable, network_delay());
        return;
    }
    ++tracked.runs;
    ++counts_.runs;
    ++process.running;
    if (tracked.runs > 1 && !is_idempotent(tracked.message.method))
    {
        report_violation("a non-idempotent request runs at most once", sent.key);
    }
    if (tracked.refused_as_not_run)
    {
        report_violation("a request refused with 5.03 never runs", sent.key);
    }
    const base::duration time = chance(0.03) ? random_duration(500ms, 4s) : random_duration(2ms, 40ms);
    schedule(time, [this, from, upstream, sent] { finish_run(from, upstream, sent); });
}

void world::finish_run(const sender& from, std::size_t upstream, const send_to_upstream& sent)
{
    upstream_process& process = upstreams_[upstream];
    process.running -= process.running > 0 ? 1 : 0;
    const bool is_cancelled = cancelled_.contains({sent.key, sent.upstream}) && chance(0.7);
    if (process.failed || is_cancelled)
    {
        return;
    }
    send_answer(from, upstream, requests_.at(sent.key).message, 0x45, network_delay());
}

void world::deliver_answer(const sender& to, const answer& value)
{
    // A host sends from a new port after each start, so an answer never reaches
    // a later process on the same host.
    if (hosts_[to.host].incarnation == to.incarnation)
    {
        on_host(to.host, [this, value](dispatcher& subject) { return subject.on_answer(value, now_); });
    }
}

void world::send_answer(const sender& to, std::size_t upstream, const request& original, std::uint8_t code,
                        base::duration delay)
{
    answer value;
    value.service_address = original.service_address;
    value.caller = original.caller;
    value.upstream = upstreams_[upstream].target.endpoint;
    value.token = original.token;
    value.token_length = original.token_length;
    value.piggybacked = chance(0.5);
    value.message_id = value.piggybacked ? original.message_id : next_upstream_message_id_++;
    value.code = code;
    value.more_blocks = requests_.at(original.key).transfer != 0 && original.block < last_block;
    const answer_content content{original.key, upstream + 1};
    std::vector<std::byte> bytes(sizeof content);
    std::memcpy(bytes.data(), &content, sizeof content);
    value.bytes = std::make_shared<const std::vector<std::byte>>(std::move(bytes));
    const int copies = chance(duplication_probability_) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
    {
        if (!chance(loss_probability_))
        {
            schedule(delay + (copy == 0 ? 0ms : random_duration(0ms, 1500ms)),
                     [this, to, value] { deliver_answer(to, value); });
        }
    }
}

void world::schedule_load()
{
    const std::size_t count = 150 + random_.below(450);
    for (std::size_t i = 0; i < count; ++i)
    {
        const bool is_burst = chance(0.4);
        const base::duration start =
            warm_up + (is_burst ? load_time / 2 + random_duration(0ms, 300ms) : random_duration(0ms, load_time));
        schedule(start, [this, i] { begin_request(i); });
    }
}

void world::begin_request(std::size_t index)
{
    const auto port = static_cast<std::uint16_t>(4000 + random_.below(12));
    if (index % 8 == 0)
    {
        request_block(index + 1, port, 0);
        return;
    }
    caller_request tracked;
    tracked.message.method = chance(0.5) ? method::post : method::get;
    tracked.message.path = random_.below(3);
    tracked.message.caller = base::endpoint::make_v4(0x0a020001, port);
    submit(std::move(tracked));
}

void world::request_block(std::size_t transfer, std::uint16_t port, std::uint32_t block)
{
    caller_request tracked;
    tracked.transfer = transfer;
    tracked.message.method = method::get;
    // Each transfer has its own path: with two concurrent transfers of the same
    // resource a caller can tell the blocks apart only by their ETag (RFC 7959
    // section 2.4), and this caller does not check it.
    tracked.message.path = 100 + transfer;
    tracked.message.block = block;
    tracked.message.caller = base::endpoint::make_v4(0x0a020001, port);
    submit(std::move(tracked));
}

void world::submit(caller_request tracked)
{
    request& message = tracked.message;
    message.service = service_.id();
    message.service_address = service_.address;
    message.token = random_.below(6);
    message.token_length = 1;
    message.message_id = next_message_id_++;
    message.key = base::mix(base::mix(message.caller.port(), message.token), message.message_id);
    ++counts_.requests;
    const request_key key = message.key;
    requests_.emplace(key, std::move(tracked));
    send_with_retransmission(key, 0, random_duration(ack_timeout, ack_timeout * 3 / 2));
}

void world::on_block_answer(const caller_request& tracked, std::uint64_t upstream)
{
    if (tracked.message.block == 0)
    {
        first_blocks_[tracked.transfer] = upstream;
    }
    counts_.later_blocks += tracked.message.block > 0 ? 1 : 0;
    if (first_blocks_.at(tracked.transfer) != upstream)
    {
        report_violation("blocks of an answer are never mixed", tracked.message.key);
        return;
    }
    // No new block is requested so late that its retransmissions could outlast
    // the simulation.
    const bool may_continue = now_ < base::time_point{warm_up + load_time + recovery_time / 5};
    if (tracked.message.block < last_block && may_continue)
    {
        schedule(random_duration(1ms, 300ms),
                 [this, transfer = tracked.transfer, port = tracked.message.caller.port(),
                  block = tracked.message.block] { request_block(transfer, port, block + 1); });
    }
}

void world::send_with_retransmission(request_key key, int number, base::duration timeout)
{
    if (requests_.at(key).replied || number > max_retransmit)
    {
        return;
    }
    const int copies = chance(duplication_probability_) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
    {
        const std::size_t host = random_.below(hosts_.size());
        if (!chance(loss_probability_))
        {
            schedule(network_delay(), [this, host, key] { receive_at_host(host, key, false); });
        }
    }
    schedule(timeout, [this, key, number, timeout] { send_with_retransmission(key, number + 1, timeout * 2); });
}

void world::receive_at_host(std::size_t host, request_key key, bool relayed)
{
    trace(key, {"arrives at", hosts_[host].name, relayed ? "relayed" : "directly"});
    on_host(host, [this, key, relayed](dispatcher& subject)
            { return subject.on_request(requests_.at(key).message, relayed, now_); });
}

} // namespace galenabay::torture
