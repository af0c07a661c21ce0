#include <galenabay/wire/peer_datagram.hpp>

#include "endpoint_codec.hpp"

#include <galenabay/wire/proxy_header.hpp>

#include <generated/peer.capnp.h>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <optional>
#include <utility>

namespace galenabay::wire
{

namespace
{

using base::error;
using base::error_code;

constexpr std::size_t max_encoded = 16384;
constexpr std::uint64_t max_decoded_words = 4096;
constexpr int max_nesting = 8;
constexpr std::size_t max_name = 63;
constexpr std::size_t max_records = 512;

error malformed(const char* detail)
{
    return error::make(error_code::malformed, "decode_peer_datagram", "", detail);
}

/// Visitor that writes the body of a datagram.
struct body_writer
{
    schema::PeerDatagram::Builder out;

    void operator()(const relayed_packet& value)
    {
        auto relay = out.initRelay();
        write_endpoint(value.service, relay.initService());
        write_endpoint(value.caller, relay.initCaller());
        relay.setPayload({reinterpret_cast<const kj::byte*>(value.payload.data()), value.payload.size()});
        relay.setHops(value.hops);
    }

    void operator()(const intent& value)
    {
        auto body = out.initIntent();
        body.setRequest(value.request);
        body.setUpstream(value.upstream);
        body.setSequence(value.sequence);
    }

    void operator()(const intent_reply& value)
    {
        auto body = out.initIntentReply();
        body.setRequest(value.request);
        body.setSequence(value.sequence);
        body.setAccepted(value.accepted);
    }

    void operator()(const flow_batch& value)
    {
        auto records = out.initFlows().initRecords(static_cast<unsigned>(value.records.size()));
        for (unsigned at = 0; at < records.size(); ++at)
        {
            const auto& record = value.records[at];
            records[at].setKey(record.key);
            records[at].setService(record.service);
            records[at].setUpstream(record.upstream);
        }
    }
};

std::optional<relayed_packet> read_relay(schema::RelayedPacket::Reader in)
{
    const auto payload = in.getPayload();
    if (payload.size() > max_datagram)
    {
        return std::nullopt;
    }
    const auto* first = reinterpret_cast<const std::byte*>(payload.begin());
    return relayed_packet{
        read_endpoint(in.getService()), read_endpoint(in.getCaller()), {first, first + payload.size()}, in.getHops()};
}

std::optional<flow_batch> read_flows(schema::FlowBatch::Reader in)
{
    const auto records = in.getRecords();
    if (records.size() > max_records)
    {
        return std::nullopt;
    }
    flow_batch batch;
    batch.records.reserve(records.size());
    for (const auto record : records)
    {
        batch.records.push_back({record.getKey(), record.getService(), record.getUpstream()});
    }
    return batch;
}

template <typename T> base::result<peer_datagram> make_datagram(std::string from, std::optional<T> body)
{
    if (!body)
    {
        return error::make(error_code::out_of_range, "decode_peer_datagram", "", "the body is too large");
    }
    return peer_datagram{std::move(from), std::move(*body)};
}

base::result<peer_datagram> read_datagram(schema::PeerDatagram::Reader in)
{
    const auto from = in.getFrom();
    if (from.size() > max_name)
    {
        return error::make(error_code::out_of_range, "decode_peer_datagram", "", "the sender name is too long");
    }
    std::string name{from.cStr(), from.size()};
    switch (in.which())
    {
    case schema::PeerDatagram::RELAY:
        return make_datagram(std::move(name), read_relay(in.getRelay()));
    case schema::PeerDatagram::INTENT:
    {
        const auto body = in.getIntent();
        return peer_datagram{std::move(name), intent{body.getRequest(), body.getUpstream(), body.getSequence()}};
    }
    case schema::PeerDatagram::INTENT_REPLY:
    {
        const auto body = in.getIntentReply();
        return peer_datagram{std::move(name), intent_reply{body.getRequest(), body.getSequence(), body.getAccepted()}};
    }
    case schema::PeerDatagram::FLOWS:
        return make_datagram(std::move(name), read_flows(in.getFlows()));
    }
    return malformed("unknown kind of body");
}

} // namespace

std::vector<std::byte> encode_peer_datagram(const peer_datagram& value)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::PeerDatagram>();
    root.setFrom(value.from);
    std::visit(body_writer{root}, value.body);
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, message);
    const auto bytes = stream.getArray();
    const auto* first = reinterpret_cast<const std::byte*>(bytes.begin());
    return {first, first + bytes.size()};
}

base::result<peer_datagram> decode_peer_datagram(std::span<const std::byte> bytes)
{
    if (bytes.empty() || bytes.size() > max_encoded)
    {
        return error::make(error_code::out_of_range, "decode_peer_datagram", "", "the datagram is empty or too large");
    }
    try
    {
        kj::ArrayInputStream stream{{reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()}};
        capnp::ReaderOptions limits;
        limits.traversalLimitInWords = max_decoded_words;
        limits.nestingLimit = max_nesting;
        capnp::PackedMessageReader reader{stream, limits};
        return read_datagram(reader.getRoot<schema::PeerDatagram>());
    }
    catch (const kj::Exception&)
    {
        return malformed("the message encoding is invalid");
    }
}

} // namespace galenabay::wire
