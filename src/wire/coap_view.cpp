#include <galenabay/wire/coap_view.hpp>

#include <galenabay/wire/proxy_header.hpp>

#include <coap3/coap.h>

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <cstring>
#include <memory>
#include <string_view>

namespace galenabay::wire
{

namespace
{

using base::error;
using base::error_code;

constexpr std::size_t fixed_size = 4;
constexpr std::uint8_t version_1 = 1;
constexpr std::uint8_t max_token_length = 8;
constexpr std::size_t max_path = 1024;
constexpr std::size_t max_observe_length = 3;
constexpr std::size_t max_block_length = 3;
constexpr std::size_t max_age_length = 4;
constexpr std::size_t max_etag_length = 8;
constexpr std::uint8_t reserved_size_exponent = 7;
constexpr std::byte payload_marker{0xff};

using pdu_pointer = std::unique_ptr<coap_pdu_t, decltype(&coap_delete_pdu)>;

void discard_log_message(coap_log_t /*level*/, const char* /*message*/) {}

/// Turns off libcoap's messages about malformed input on standard error, with
/// which a caller could fill the log.
void disable_library_logging()
{
    static const bool done = []
    {
        coap_set_log_level(static_cast<coap_log_t>(LOG_EMERG));
        coap_set_log_handler(discard_log_message);
        return true;
    }();
    static_cast<void>(done);
}

error malformed(const char* detail)
{
    return error::make(error_code::malformed, "parse_coap", "", detail);
}

bool is_reserved_class(std::uint8_t code)
{
    const auto code_class = code >> 5;
    return code_class == 1 || code_class == 6 || code_class == 7;
}

std::uint64_t read_token(std::span<const std::byte> bytes)
{
    std::uint64_t token = 0;
    for (const std::byte value : bytes)
    {
        token = token << 8 | std::to_integer<std::uint64_t>(value);
    }
    return token;
}

std::optional<coap_view> read_fixed_header(std::span<const std::byte> datagram)
{
    if (datagram.size() < fixed_size || datagram.size() > max_datagram)
    {
        return std::nullopt;
    }
    const auto first = std::to_integer<std::uint8_t>(datagram[0]);
    if (first >> 6 != version_1)
    {
        return std::nullopt;
    }
    coap_view view;
    view.type = static_cast<coap_type>(first >> 4 & 0x03);
    view.token_length = first & 0x0f;
    view.code = std::to_integer<std::uint8_t>(datagram[1]);
    std::uint16_t message_id = 0;
    std::memcpy(&message_id, datagram.data() + 2, sizeof message_id);
    view.message_id = boost::endian::big_to_native(message_id);
    view.payload_offset = datagram.size();
    const std::size_t present = datagram.size() - fixed_size;
    if (view.token_length > max_token_length || view.token_length > present)
    {
        view.token_length = 0;
        return view;
    }
    view.token = read_token(datagram.subspan(fixed_size, view.token_length));
    return view;
}

/// Appends a segment, with '/' written as %2F, so that two paths are equal only
/// when their segments are. Returns false when the path is too long.
bool append_segment(std::string_view segment, std::string& path)
{
    path += '/';
    for (const char c : segment)
    {
        if (c == '/' || c == '%')
        {
            path += c == '/' ? "%2F" : "%25";
        }
        else
        {
            path += c;
        }
    }
    return path.size() <= max_path;
}

std::optional<block_option> read_block(const std::uint8_t* value, std::size_t length)
{
    if (length > max_block_length)
    {
        return std::nullopt;
    }
    const unsigned bits = coap_decode_var_bytes(value, length);
    const block_option block{bits >> 4, (bits & 0x08) != 0, static_cast<std::uint8_t>(bits & 0x07)};
    return block.size_exponent == reserved_size_exponent ? std::nullopt : std::optional{block};
}

bool read_option(std::uint16_t number, const std::uint8_t* value, std::size_t length, coap_view& view)
{
    switch (number)
    {
    case COAP_OPTION_URI_PATH:
        return append_segment({reinterpret_cast<const char*>(value), length}, view.path);
    case COAP_OPTION_OBSERVE:
        view.observe = coap_decode_var_bytes(value, std::min(length, max_observe_length));
        return length <= max_observe_length;
    case COAP_OPTION_MAXAGE:
        view.max_age = coap_decode_var_bytes(value, std::min(length, max_age_length));
        return length <= max_age_length;
    case COAP_OPTION_ETAG:
        view.etag = coap_decode_var_bytes8(value, std::min(length, max_etag_length));
        return length >= 1 && length <= max_etag_length;
    case COAP_OPTION_BLOCK2:
        view.block2 = read_block(value, length);
        return view.block2.has_value();
    default:
        return true;
    }
}

bool read_options(const coap_pdu_t* pdu, coap_view& view)
{
    coap_opt_iterator_t iterator;
    coap_option_iterator_init(pdu, &iterator, COAP_OPT_ALL);
    while (const coap_opt_t* option = coap_option_next(&iterator))
    {
        if (!read_option(iterator.number, coap_opt_value(option), coap_opt_length(option), view))
        {
            return false;
        }
    }
    return true;
}

/// Appends options in ascending order of their numbers.
class option_writer
{
public:
    explicit option_writer(std::vector<std::byte>& out) : out_{out} {}

    void add_integer(std::uint16_t number, std::uint64_t value)
    {
        std::uint8_t bytes[sizeof value] = {};
        const auto length = coap_encode_var_safe8(bytes, sizeof bytes, value);
        add(number, {bytes, length});
    }

    void add_text(std::uint16_t number, std::string_view text)
    {
        add(number, {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
    }

private:
    void add(std::uint16_t number, std::span<const std::uint8_t> value)
    {
        const auto delta = static_cast<std::uint16_t>(number - last_);
        const std::size_t start = out_.size();
        out_.resize(start + coap_opt_encode_size(delta, value.size()));
        coap_opt_encode(reinterpret_cast<coap_opt_t*>(out_.data() + start), out_.size() - start, delta, value.data(),
                        value.size());
        last_ = number;
    }

    std::vector<std::byte>& out_;
    std::uint16_t last_ = 0;
};

void append_header(const coap_message& message, std::vector<std::byte>& out)
{
    const auto first = version_1 << 6 | static_cast<unsigned>(message.type) << 4 | message.token_length;
    out.push_back(static_cast<std::byte>(first));
    out.push_back(std::byte{message.code});
    out.push_back(static_cast<std::byte>(message.message_id >> 8));
    out.push_back(static_cast<std::byte>(message.message_id & 0xff));
    for (unsigned left = message.token_length; left > 0; --left)
    {
        out.push_back(static_cast<std::byte>(message.token >> (8 * (left - 1)) & 0xff));
    }
}

std::string decode_segment(std::string_view text)
{
    std::string segment;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        if (const auto code = text.substr(at, 3); code == "%2F" || code == "%25")
        {
            segment += code == "%2F" ? '/' : '%';
            at += 2;
        }
        else
        {
            segment += text[at];
        }
    }
    return segment;
}

void append_path(std::string_view path, option_writer& writer)
{
    while (!path.empty())
    {
        path.remove_prefix(path.front() == '/' ? 1 : 0);
        const auto end = std::min(path.find('/'), path.size());
        writer.add_text(COAP_OPTION_URI_PATH, decode_segment(path.substr(0, end)));
        path.remove_prefix(end);
    }
}

std::uint32_t block_bits(const block_option& block)
{
    return block.number << 4 | (block.more ? 0x08U : 0U) | block.size_exponent;
}

void append_options(const coap_message& message, std::vector<std::byte>& out)
{
    option_writer writer{out};
    if (message.etag)
    {
        writer.add_integer(COAP_OPTION_ETAG, *message.etag);
    }
    if (message.observe)
    {
        writer.add_integer(COAP_OPTION_OBSERVE, *message.observe);
    }
    append_path(message.path, writer);
    if (message.max_age)
    {
        writer.add_integer(COAP_OPTION_MAXAGE, *message.max_age);
    }
    if (message.block2)
    {
        writer.add_integer(COAP_OPTION_BLOCK2, block_bits(*message.block2));
    }
}

bool is_encodable(const coap_message& message)
{
    constexpr std::uint32_t block_number_limit = 1U << 20;
    constexpr std::uint32_t observe_limit = 1U << 24;
    const bool block_fits = !message.block2 || (message.block2->number < block_number_limit &&
                                                message.block2->size_exponent < reserved_size_exponent);
    const bool observe_fits = !message.observe || *message.observe < observe_limit;
    const bool etag_fits = !message.etag || *message.etag != 0;
    return message.token_length <= max_token_length && message.path.size() <= max_path && block_fits && observe_fits &&
           etag_fits;
}

} // namespace

base::result<coap_view> parse_coap(std::span<const std::byte> datagram)
{
    disable_library_logging();
    const auto fixed = read_fixed_header(datagram);
    if (!fixed)
    {
        return malformed("no valid CoAP header");
    }
    if (fixed->is_empty())
    {
        return datagram.size() == fixed_size ? base::result<coap_view>{*fixed}
                                             : malformed("empty message with content");
    }
    if (is_reserved_class(fixed->code))
    {
        return malformed("reserved code class");
    }
    const pdu_pointer pdu{coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, datagram.size()), coap_delete_pdu};
    const auto* data = reinterpret_cast<const std::uint8_t*>(datagram.data());
    if (pdu == nullptr || coap_pdu_parse(COAP_PROTO_UDP, data, datagram.size(), pdu.get()) == 0)
    {
        return malformed("invalid token, options or payload marker");
    }
    coap_view view = *fixed;
    if (!read_options(pdu.get(), view))
    {
        return malformed("invalid option value");
    }
    const std::uint8_t* payload = nullptr;
    if (coap_get_data(pdu.get(), &view.payload_size, &payload) == 0)
    {
        view.payload_size = 0;
    }
    view.payload_offset = datagram.size() - view.payload_size;
    return view;
}

std::optional<coap_view> parse_coap_prefix(std::span<const std::byte> datagram)
{
    return read_fixed_header(datagram);
}

base::result<std::vector<std::byte>> encode_coap(const coap_message& message)
{
    disable_library_logging();
    if (!is_encodable(message))
    {
        return error::make(error_code::out_of_range, "encode_coap", "", "a field does not fit its option");
    }
    std::vector<std::byte> out;
    out.reserve(fixed_size + max_token_length + message.path.size() + message.payload.size() + 32);
    append_header(message, out);
    append_options(message, out);
    if (!message.payload.empty())
    {
        out.push_back(payload_marker);
        out.insert(out.end(), message.payload.begin(), message.payload.end());
    }
    if (out.size() > max_datagram)
    {
        return error::make(error_code::out_of_range, "encode_coap", "", "the message does not fit a datagram");
    }
    return out;
}

} // namespace galenabay::wire
