#pragma once

#include <galenabay/base/result.hpp>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace galenabay::config
{

/// Largest unpacked message that is read, in 8-byte words (64 MiB).
constexpr std::uint64_t max_message_words = 8U << 20U;
constexpr int max_message_nesting = 16;

/// Encodes a message in its packed canonical form: equal content gives equal
/// bytes.
template <typename Reader> std::vector<std::byte> pack_canonical(Reader reader)
{
    const auto words = capnp::canonicalize(reader);
    const kj::ArrayPtr<const capnp::word> segment{words.begin(), words.size()};
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>{&segment, 1});
    const auto bytes = std::as_bytes(std::span{stream.getArray().begin(), stream.getArray().size()});
    return {bytes.begin(), bytes.end()};
}

/// Decodes a packed message and returns the result of calling `read` with its
/// root. Errors: `malformed`, or those of `read`.
template <typename Root, typename Read>
auto unpack(std::span<const std::byte> bytes, Read read) -> decltype(read(std::declval<typename Root::Reader>()))
{
    try
    {
        kj::ArrayInputStream stream{{reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()}};
        capnp::ReaderOptions options;
        options.traversalLimitInWords = max_message_words;
        options.nestingLimit = max_message_nesting;
        capnp::PackedMessageReader message{stream, options};
        return read(message.getRoot<Root>());
    }
    catch (const kj::Exception& failure)
    {
        return base::error::make(base::error_code::malformed, "decode_revision", "", failure.getDescription().cStr());
    }
}

} // namespace galenabay::config
