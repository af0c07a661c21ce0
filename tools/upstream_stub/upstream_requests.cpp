// Request execution and feeds of `upstream`.

#include "upstream.hpp"

#include "../stand_in/content.hpp"

#include <array>
#include <charconv>
#include <utility>

namespace galenabay::stand_in
{

namespace
{

constexpr std::uint8_t code_get = 0x01;
constexpr std::uint8_t code_post = 0x02;
constexpr std::uint8_t code_put = 0x03;
constexpr std::uint8_t code_method_not_allowed = 0x85;
/// MAX_TRANSMIT_SPAN of RFC 7252.
constexpr base::duration acknowledgement_timeout{45'000'000};
constexpr std::uint32_t observe_mask = 0xffffff;
constexpr std::uint8_t max_size_exponent = 6;

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
    if (parse_path_number(view.path, "/profile/"))
    {
        return view.code == code_get || view.code == code_put;
    }
    return view.code == code_get && parse_path_number(view.path, "/title/").has_value();
}

} // namespace

void upstream::on_request(const origin& from, const wire::coap_view& view, std::string nonce, base::time_point now)
{
    wire::coap_message message;
    if (view.path == "/load" && view.code == code_get)
    {
        message.code = wire::code_content;
        message.payload = as_payload(format_load_report(now));
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
    feed* added = known || accepts_new_work() ? feeds_.add(key, from, now) : nullptr;
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
    const bool unacknowledged = due->unacknowledged_since != base::time_point{};
    if (unacknowledged && now - due->unacknowledged_since > acknowledgement_timeout)
    {
        feeds_.remove(key);
        return;
    }
    const bool confirmable = unacknowledged || random_.unit() * 100 < settings_.confirmable_percent;
    if (confirmable && !unacknowledged)
    {
        due->unacknowledged_since = now;
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

bool upstream::replay_answer(const origin& from, const wire::coap_view& view, base::time_point now)
{
    if (!settings_.deduplicate || view.type != wire::coap_type::confirmable)
    {
        return false;
    }
    if (queue_.contains(from.header.caller, view.message_id))
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
    if (replay_answer(from, view, now))
    {
        return;
    }
    job work{from, view, std::move(nonce), {}, {}, 0};
    if (from.header.deadline_ms != 0)
    {
        work.deadline = now + base::duration{std::int64_t{from.header.deadline_ms} * 1000};
    }
    if (accepts_new_work() && queue_.try_enqueue(std::move(work)))
    {
        start_runs(now);
    }
    else if (!queue_.contains(from.header.caller, view.message_id))
    {
        refuse(from, view, now);
    }
}

void upstream::start_runs(base::time_point now)
{
    std::vector<job> expired;
    for (const auto& work : queue_.start_queued(now, expired))
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
    if (const auto number = parse_path_number(work.request.path, "/title/"))
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
    auto block = work.request.block2.value_or(wire::block_option{0, false, max_size_exponent});
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
    return name_ + "/" + std::to_string(start_time_us_) + "/" + std::to_string(work.run);
}

void upstream::record(const job& work, const char* outcome)
{
    log_->write({settings_.service, name_, work.from.header.caller.to_string(), method_name(work.request.code),
                 work.request.path, work.nonce, run_id(work), outcome});
}

} // namespace galenabay::stand_in
