#include "upstream.hpp"

#include "../stand_in/content.hpp"

#include <galenabay/wire/proxy_header.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace galenabay::stand_in
{

namespace
{

constexpr std::uint32_t refusal_max_age_s = 1;
constexpr std::size_t max_cached_answers = 4096;
constexpr std::size_t max_nonce = 64;

/// Returns the nonce of a request without the characters that could break a log line.
std::string sanitize_nonce(std::string_view payload)
{
    std::string nonce{field(payload, "nonce").substr(0, max_nonce)};
    std::erase_if(nonce, [](unsigned char c) { return std::isalnum(c) == 0 && c != '-'; });
    return nonce;
}

} // namespace

base::result<upstream> upstream::make(const base::endpoint& address, const stub_settings& settings, std::uint64_t seed,
                                      run_log& log, base::time_point now)
{
    BOOST_OUTCOME_TRY(socket, datagram_socket::bind(address, settings.faults, seed));
    upstream made{address, settings, seed, log, std::move(socket)};
    made.queue_.set_cold_until(now + settings.cold_time);
    made.start_time_us_ = static_cast<std::uint64_t>(now.time_since_epoch().count());
    return made;
}

upstream::upstream(const base::endpoint& address, const stub_settings& settings, std::uint64_t seed, run_log& log,
                   datagram_socket socket)
    : name_{address.to_string()}, address_{address}, settings_{settings}, log_{&log}, socket_{std::move(socket)},
      random_{seed + 1}, queue_{settings, seed + 2}, feeds_{settings.connections, settings.feed_interval}
{
}

void upstream::on_readable(base::time_point now)
{
    std::vector<std::byte> bytes;
    while (const auto sender = socket_.receive(bytes))
    {
        if (!killed_)
        {
            on_datagram(*sender, bytes, now);
        }
    }
}

void upstream::on_tick(base::time_point now)
{
    socket_.on_tick(now);
    if (killed_)
    {
        return;
    }
    for (const auto& work : queue_.take_finished(now))
    {
        finish(work, now);
    }
    start_runs(now);
    for (const auto& key : feeds_.take_due(now))
    {
        notify(key, now);
    }
}

void upstream::on_datagram(const base::endpoint& sender, std::span<const std::byte> bytes, base::time_point now)
{
    origin from{sender, {sender, address_, 0, 0}};
    std::span<const std::byte> payload = bytes;
    if (!settings_.direct)
    {
        const auto parsed = wire::parse_proxied(bytes);
        if (!parsed)
        {
            return;
        }
        from.header = parsed.value().header;
        payload = parsed.value().payload;
    }
    if (settings_.kind == stub_kind::datagram)
    {
        on_opaque(from, payload, now);
    }
    else
    {
        on_coap(from, payload, now);
    }
}

void upstream::on_opaque(const origin& from, std::span<const std::byte> payload, base::time_point now)
{
    const auto known = datagram_counts_.find(from.header.caller);
    if (known == datagram_counts_.end() && (!accepts_new_work() || datagram_counts_.size() >= settings_.connections))
    {
        return;
    }
    const auto count = ++datagram_counts_[from.header.caller];
    auto reply = as_payload(label() + " count=" + std::to_string(count) + " ");
    reply.insert(reply.end(), payload.begin(), payload.end());
    send_bytes(from, reply, now);
}

void upstream::on_coap(const origin& from, std::span<const std::byte> payload, base::time_point now)
{
    feeds_.on_caller_packet(from.header.caller, from.sender);
    const auto parsed = wire::parse_coap(payload);
    if (!parsed)
    {
        if (const auto prefix = wire::parse_coap_prefix(payload); prefix && prefix->is_request())
        {
            wire::coap_message message;
            message.code = wire::code_bad_request;
            answer(from, *prefix, std::move(message), now);
        }
        return;
    }
    const auto& view = parsed.value();
    if (view.is_empty())
    {
        on_empty(from, view, now);
    }
    else if (view.is_request())
    {
        on_request(from, view, sanitize_nonce(as_text(payload.subspan(view.payload_offset, view.payload_size))), now);
    }
}

void upstream::on_empty(const origin& from, const wire::coap_view& view, base::time_point now)
{
    if (view.type == wire::coap_type::confirmable)
    {
        wire::coap_message pong;
        pong.type = wire::coap_type::reset;
        pong.message_id = view.message_id;
        send(from, pong, now);
    }
    else if (view.type == wire::coap_type::acknowledgement)
    {
        feeds_.on_acknowledgement(from.header.caller);
    }
    else if (view.type == wire::coap_type::reset)
    {
        feeds_.on_reset(from.header.caller, view.message_id);
        if (const auto cancelled = queue_.cancel(from.header.caller, view.message_id); cancelled && cancelled->run != 0)
        {
            record(*cancelled, "cancelled");
        }
    }
}

std::string upstream::format_load_report(base::time_point now)
{
    if (now >= next_report_)
    {
        reported_running_ = queue_.running();
        next_report_ = now + settings_.report_lag;
    }
    const std::size_t running = reports_false_load_ ? 0 : reported_running_;
    const bool healthy = reports_false_load_ || accepts_new_work();
    return "running=" + std::to_string(running) + " slots=" + std::to_string(settings_.slots) +
           " healthy=" + (healthy ? "1" : "0");
}

void upstream::answer(const origin& from, const wire::coap_view& request, wire::coap_message message,
                      base::time_point now)
{
    const bool confirmable = request.type == wire::coap_type::confirmable;
    message.type = confirmable ? wire::coap_type::acknowledgement : wire::coap_type::non_confirmable;
    message.message_id = confirmable ? request.message_id : next_message_id_++;
    message.token = request.token;
    message.token_length = request.token_length;
    send(from, message, now);
    if (!settings_.deduplicate || !confirmable)
    {
        return;
    }
    if (const auto encoded = wire::encode_coap(message); encoded.has_value())
    {
        const std::pair key{from.header.caller, request.message_id};
        answers_[key] = encoded.value();
        answer_order_.push_back(key);
    }
    if (answer_order_.size() > max_cached_answers)
    {
        answers_.erase(answer_order_.front());
        answer_order_.pop_front();
    }
}

void upstream::refuse(const origin& from, const wire::coap_view& request, base::time_point now)
{
    wire::coap_message message;
    message.code = wire::code_unavailable;
    message.max_age = refusal_max_age_s;
    answer(from, request, std::move(message), now);
}

void upstream::send(const origin& from, const wire::coap_message& message, base::time_point now)
{
    if (const auto encoded = wire::encode_coap(message); encoded.has_value())
    {
        send_bytes(from, encoded.value(), now);
    }
}

void upstream::send_bytes(const origin& from, std::span<const std::byte> payload, base::time_point now)
{
    std::vector<std::byte> bytes;
    if (!settings_.direct)
    {
        wire::append_proxy_header({from.header.caller, from.header.service, 0, 0}, bytes);
    }
    bytes.insert(bytes.end(), payload.begin(), payload.end());
    socket_.send(bytes, from.sender, now);
}

void upstream::kill()
{
    for (const auto& work : queue_.clear())
    {
        record(work, "killed");
    }
    feeds_.clear();
    datagram_counts_.clear();
    answers_.clear();
    answer_order_.clear();
    killed_ = true;
}

bool upstream::on_command(std::string_view verb, double value, base::time_point now)
{
    if (verb == "kill")
    {
        kill();
    }
    else if (verb == "revive")
    {
        killed_ = false;
        draining_ = false;
        shedding_ = false;
        queue_.set_cold_until(now + settings_.cold_time);
    }
    else if (verb == "drain" || verb == "undrain")
    {
        draining_ = verb == "drain";
    }
    else if (verb == "shed" || verb == "unshed")
    {
        shedding_ = verb == "shed";
    }
    else if (verb == "lie" || verb == "truth")
    {
        reports_false_load_ = verb == "lie";
    }
    else if (verb == "slow")
    {
        queue_.set_slowdown(value);
    }
    else if (verb == "cold")
    {
        queue_.set_cold_until(now + settings_.cold_time);
    }
    else
    {
        return false;
    }
    return true;
}

std::string upstream::status() const
{
    return label() + " running=" + std::to_string(queue_.running()) + " feeds=" + std::to_string(feeds_.size()) +
           " killed=" + (killed_ ? "1" : "0") + " draining=" + (draining_ ? "1" : "0") +
           " shedding=" + (shedding_ ? "1" : "0");
}

} // namespace galenabay::stand_in
