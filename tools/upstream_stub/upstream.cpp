#include "upstream.hpp"

#include "../stand_in/content.hpp"

#include <galenabay/wire/proxy_header.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace galenabay::stand_in
{

namespace
{

constexpr std::uint8_t code_get = 0x01;
constexpr std::uint8_t code_post = 0x02;
constexpr std::uint8_t code_put = 0x03;
constexpr std::uint8_t code_method_not_allowed = 0x85;
constexpr std::uint32_t refusal_max_age_s = 1;
constexpr std::uint32_t unacknowledged_limit = 5;
constexpr std::size_t max_remembered_answers = 4096;
constexpr std::size_t max_nonce = 64;
constexpr std::uint32_t observe_mask = 0xffffff;
constexpr std::uint8_t largest_size_exponent = 6;

std::string to_hex(std::uint64_t value)
{
    std::array<char, 16> text{};
    const auto result = std::to_chars(text.data(), text.data() + text.size(), value, 16);
    return {text.data(), result.ptr};
}

const char* method_name(std::uint8_t code)
{
    switch (code)
    {
    case code_get:
        return "GET";
    case code_post:
        return "POST";
    case code_put:
        return "PUT";
    default:
        return "other";
    }
}

bool is_known_resource(const wire::coap_view& view)
{
    if (view.code == code_post)
    {
        return view.path == "/hold";
    }
    if (number_of(view.path, "/profile/"))
    {
        return view.code == code_get || view.code == code_put;
    }
    return view.code == code_get && number_of(view.path, "/title/").has_value();
}

/// A nonce goes into a line of text, so only what is plain is kept.
std::string plain_nonce(std::string_view payload)
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
    made.start_stamp_ = static_cast<std::uint64_t>(now.time_since_epoch().count());
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
    if (known == datagram_counts_.end() && (!takes_new_work() || datagram_counts_.size() >= settings_.connections))
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
        on_request(from, view, plain_nonce(as_text(payload.subspan(view.payload_offset, view.payload_size))), now);
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

void upstream::on_request(const origin& from, const wire::coap_view& view, std::string nonce, base::time_point now)
{
    wire::coap_message message;
    if (view.path == "/load" && view.code == code_get)
    {
        message.code = wire::code_content;
        message.payload = as_payload(load_text(now));
        answer(from, view, std::move(message), now);
    }
    else if (view.path == "/feed" && view.code == code_get && view.observe)
    {
        on_feed_request(from, view, now);
    }
    else if (is_known_resource(view))
    {
        run(from, view, std::move(nonce), now);
    }
    else
    {
        message.code = view.code > code_put ? code_method_not_allowed : wire::code_not_found;
        answer(from, view, std::move(message), now);
    }
}

void upstream::on_feed_request(const origin& from, const wire::coap_view& view, base::time_point now)
{
    const feed_key key{from.header.caller, view.token, view.token_length};
    const bool known = feeds_.find(key) != nullptr;
    wire::coap_message message;
    message.code = wire::code_content;
    if (*view.observe != 0)
    {
        feeds_.remove(key);
        message.payload = as_payload(label() + " feed=closed");
        answer(from, view, std::move(message), now);
        return;
    }
    feed* added = known || takes_new_work() ? feeds_.add(key, from, now) : nullptr;
    if (added == nullptr)
    {
        refuse(from, view, now);
        return;
    }
    message.observe = ++added->sequence & observe_mask;
    message.payload =
        as_payload(label() + " feed=" + to_hex(key.token) + " registration=" + to_hex(added->registration) +
                   " sequence=" + std::to_string(added->sequence));
    answer(from, view, std::move(message), now);
}

void upstream::notify(const feed_key& key, base::time_point now)
{
    feed* due = feeds_.find(key);
    if (due == nullptr)
    {
        return;
    }
    const bool confirmable = due->unacknowledged > 0 || random_.unit() * 100 < settings_.confirmable_percent;
    if (confirmable && ++due->unacknowledged > unacknowledged_limit)
    {
        feeds_.remove(key);
        return;
    }
    wire::coap_message message;
    message.type = confirmable ? wire::coap_type::confirmable : wire::coap_type::non_confirmable;
    message.code = wire::code_content;
    message.message_id = next_message_id_++;
    message.token = key.token;
    message.token_length = key.token_length;
    message.observe = ++due->sequence & observe_mask;
    message.payload = as_payload(label() + " feed=" + to_hex(key.token) + " registration=" + to_hex(due->registration) +
                                 " sequence=" + std::to_string(due->sequence));
    due->last_message_id = message.message_id;
    send(due->from, message, now);
}

bool upstream::replay(const origin& from, const wire::coap_view& view, base::time_point now)
{
    if (!settings_.deduplicate || view.type != wire::coap_type::confirmable)
    {
        return false;
    }
    if (queue_.holds(from.header.caller, view.message_id))
    {
        return true;
    }
    const auto known = answers_.find({from.header.caller, view.message_id});
    if (known == answers_.end())
    {
        return false;
    }
    send_bytes(from, known->second, now);
    return true;
}

void upstream::run(const origin& from, const wire::coap_view& view, std::string nonce, base::time_point now)
{
    if (replay(from, view, now))
    {
        return;
    }
    job work{from, view, std::move(nonce), {}, {}, 0};
    if (from.header.deadline_ms != 0)
    {
        work.deadline = now + base::duration{std::int64_t{from.header.deadline_ms} * 1000};
    }
    if (!takes_new_work() || !queue_.offer(std::move(work)))
    {
        refuse(from, view, now);
        return;
    }
    start_runs(now);
}

void upstream::start_runs(base::time_point now)
{
    std::vector<job> expired;
    for (const auto& work : queue_.start_waiting(now, expired))
    {
        record(work, "started");
    }
    for (const auto& work : expired)
    {
        record(work, "expired");
    }
}

void upstream::finish(const job& work, base::time_point now)
{
    record(work, "done");
    answer(work.from, work.request, result_of(work), now);
}

wire::coap_message upstream::result_of(const job& work) const
{
    if (const auto number = number_of(work.request.path, "/title/"))
    {
        return block_of(work, *number);
    }
    wire::coap_message message;
    std::string text = label() + " path=" + work.request.path;
    if (work.request.code == code_post)
    {
        message.code = wire::code_created;
        text += " nonce=" + work.nonce + " run=" + run_id(work);
    }
    else if (work.request.code == code_put)
    {
        message.code = wire::code_changed;
        text += " nonce=" + work.nonce;
    }
    else
    {
        message.code = wire::code_content;
    }
    message.payload = as_payload(text);
    return message;
}

wire::coap_message upstream::block_of(const job& work, std::uint64_t number) const
{
    const document content{settings_.service, number};
    auto block = work.request.block2.value_or(wire::block_option{0, false, largest_size_exponent});
    const std::size_t block_size = std::size_t{16} << block.size_exponent;
    const std::size_t offset = block.number * block_size;
    wire::coap_message message;
    if (offset >= content.size())
    {
        message.code = wire::code_bad_request;
        return message;
    }
    block.more = offset + block_size < content.size();
    message.code = wire::code_content;
    message.block2 = block;
    message.etag = content.etag();
    message.payload = content.slice(offset, block_size);
    return message;
}

std::string upstream::run_id(const job& work) const
{
    return name_ + "/" + std::to_string(start_stamp_) + "/" + std::to_string(work.run);
}

void upstream::record(const job& work, const char* outcome)
{
    log_->write({settings_.service, name_, work.from.header.caller.to_string(), method_name(work.request.code),
                 work.request.path, work.nonce, run_id(work), outcome});
}

std::string upstream::load_text(base::time_point now)
{
    if (now >= next_report_)
    {
        reported_running_ = queue_.running();
        next_report_ = now + settings_.report_lag;
    }
    const std::size_t running = lying_ ? 0 : reported_running_;
    const bool healthy = lying_ || takes_new_work();
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
    if (answer_order_.size() > max_remembered_answers)
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
        lying_ = verb == "lie";
    }
    else if (verb == "slow")
    {
        queue_.set_slowness(value);
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
