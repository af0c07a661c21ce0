#include "fuzz.hpp"

#include <galenabay/wire/coap_view.hpp>
#include <galenabay/wire/proxy_header.hpp>

#include <CppUTest/TestHarness.h>

#include <unistd.h>

#include <cstdio>
#include <cstring>

using namespace galenabay;
using wire::coap_message;
using wire::coap_type;
using wire::encode_coap;
using wire::parse_coap;
using wire::parse_coap_prefix;

namespace
{

std::vector<std::byte> bytes_of(std::initializer_list<int> values)
{
    std::vector<std::byte> bytes;
    for (const int value : values)
    {
        bytes.push_back(static_cast<std::byte>(value));
    }
    return bytes;
}

coap_message full_message()
{
    coap_message message;
    message.type = coap_type::non_confirmable;
    message.code = wire::code_content;
    message.message_id = 0xbeef;
    message.token = 0x0102030405060708;
    message.token_length = 8;
    message.observe = 0xfffffe;
    message.block2 = wire::block_option{70000, true, 5};
    message.max_age = 4'000'000'000U;
    message.etag = 0xa1b2c3d4e5f60718;
    message.path = "/profile/a%2Fb%25";
    message.payload.assign(500, std::byte{0x2a});
    return message;
}

/// Redirects an output stream to a temporary file for the lifetime of the object.
class captured_stream
{
public:
    explicit captured_stream(std::FILE* stream)
        : stream_{stream}, file_{std::tmpfile()}, saved_{(std::fflush(stream), dup(fileno(stream)))}
    {
        dup2(fileno(file_), fileno(stream_));
    }
    captured_stream(const captured_stream&) = delete;
    captured_stream& operator=(const captured_stream&) = delete;
    ~captured_stream()
    {
        std::fflush(stream_);
        dup2(saved_, fileno(stream_));
        close(saved_);
        std::fclose(file_);
    }

    long size() const
    {
        std::fflush(stream_);
        return lseek(fileno(file_), 0, SEEK_END);
    }

private:
    std::FILE* stream_;
    std::FILE* file_;
    int saved_;
};

} // namespace

TEST_GROUP(coap_view){};

TEST(coap_view, encodes_the_layout_of_rfc_7252)
{
    coap_message message;
    message.code = 1;
    message.message_id = 0x7d34;
    message.token = 0x20;
    message.token_length = 1;
    message.path = "/temperature";
    const auto bytes = encode_coap(message).value();
    const auto expected =
        bytes_of({0x41, 0x01, 0x7d, 0x34, 0x20, 0xbb, 't', 'e', 'm', 'p', 'e', 'r', 'a', 't', 'u', 'r', 'e'});
    CHECK(bytes == expected);
}

TEST(coap_view, parses_every_field_of_an_encoded_message)
{
    const auto message = full_message();
    const auto bytes = encode_coap(message).value();
    const auto view = parse_coap(bytes).value();
    CHECK(view.type == message.type);
    LONGS_EQUAL(message.code, view.code);
    LONGS_EQUAL(message.message_id, view.message_id);
    CHECK(message.token == view.token);
    LONGS_EQUAL(8, view.token_length);
    CHECK(message.observe == view.observe);
    CHECK(message.block2 == view.block2);
    CHECK(message.max_age == view.max_age);
    CHECK(message.etag == view.etag);
    STRCMP_EQUAL(message.path.c_str(), view.path.c_str());
    LONGS_EQUAL(500, view.payload_size);
    CHECK(bytes[view.payload_offset] == std::byte{0x2a});
    LONGS_EQUAL(bytes.size(), view.payload_offset + view.payload_size);
}

TEST(coap_view, reads_an_empty_message)
{
    const auto view = parse_coap(bytes_of({0x40, 0, 1, 2})).value();
    CHECK(view.is_empty());
    LONGS_EQUAL(0x0102, view.message_id);
    CHECK_FALSE(parse_coap(bytes_of({0x41, 0, 1, 2, 9})).has_value());
    CHECK_FALSE(parse_coap(bytes_of({0x40, 0, 1, 2, 0xff, 1})).has_value());
}

TEST(coap_view, refuses_malformed_messages)
{
    for (const auto& bytes : {
             bytes_of({}), bytes_of({0x40, 1, 0}), bytes_of({0x80, 1, 0, 1}), // version 2
             bytes_of({0x49, 1, 0, 1, 1, 2, 3, 4, 5, 6, 7, 8, 9}),            // token of 9 bytes
             bytes_of({0x44, 1, 0, 1, 1, 2}),                                 // token cut off
             bytes_of({0x40, 0x20, 0, 1}),                                    // class 1
             bytes_of({0x40, 0xe1, 0, 1}),                                    // class 7
             bytes_of({0x40, 1, 0, 1, 0xff}),                                 // marker without payload
             bytes_of({0x40, 1, 0, 1, 0xb5, 'a'}),                            // option cut off
             bytes_of({0x40, 1, 0, 1, 0xf1, 0}),                              // option delta 15
             bytes_of({0x40, 1, 0, 1, 0x64, 1, 2, 3, 4}),                     // observe of 4 bytes
             bytes_of({0x40, 1, 0, 1, 0xd1, 10, 0x07}),                       // block size exponent 7
         })
    {
        CHECK_FALSE(parse_coap(bytes).has_value());
    }
    CHECK_FALSE(parse_coap(std::vector<std::byte>(wire::max_datagram + 1, std::byte{0x40})).has_value());
}

TEST(coap_view, reads_the_prefix_of_a_malformed_request)
{
    const auto view = parse_coap_prefix(bytes_of({0x42, 2, 0x12, 0x34, 0xca, 0xfe, 0xf1, 0}));
    CHECK(view.has_value());
    CHECK(view->is_request());
    LONGS_EQUAL(0x1234, view->message_id);
    CHECK(view->token == 0xcafe);
    const auto long_token = parse_coap_prefix(bytes_of({0x4f, 2, 0, 7}));
    CHECK(long_token.has_value());
    LONGS_EQUAL(0, long_token->token_length);
    CHECK_FALSE(parse_coap_prefix(bytes_of({0xc0, 2, 0, 7})).has_value());
}

TEST(coap_view, refuses_to_encode_fields_that_do_not_fit)
{
    auto message = full_message();
    message.payload.resize(wire::max_datagram);
    CHECK_FALSE(encode_coap(message).has_value());
    message = full_message();
    message.token_length = 9;
    CHECK_FALSE(encode_coap(message).has_value());
    message = full_message();
    message.block2->size_exponent = 7;
    CHECK_FALSE(encode_coap(message).has_value());
}

TEST(coap_view, survives_random_and_mutated_input_and_prints_nothing)
{
    const captured_stream output{stdout};
    const captured_stream errors{stderr};
    base::random_source random{7252};
    const auto valid = encode_coap(full_message()).value();
    std::size_t accepted = 0;
    for (int round = 0; round < 200'000; ++round)
    {
        auto input = round % 2 == 0 ? test::random_bytes(random, 80) : test::mutate(valid, random);
        if (round % 4 == 0 && !input.empty())
        {
            input[0] = std::byte{0x42};
        }
        const test::exact_copy copy{input};
        static_cast<void>(parse_coap_prefix(copy.bytes()));
        if (const auto parsed = parse_coap(copy.bytes()); parsed.has_value())
        {
            ++accepted;
            CHECK(parsed.value().token_length <= 8);
            LONGS_EQUAL(input.size(), parsed.value().payload_offset + parsed.value().payload_size);
        }
    }
    CHECK(accepted > 0);
    LONGS_EQUAL(0, output.size());
    LONGS_EQUAL(0, errors.size());
}
