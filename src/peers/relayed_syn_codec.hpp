#pragma once

#include <galenabay/peers/relayed_syn.hpp>
#include <generated/edge.capnp.h>

#include <capnp/blob.h>

#include <cstddef>

namespace galenabay::peers
{

inline void write_relayed(const relayed_syn& from, schema::RelayedSyn::Builder out)
{
    out.setPacket(capnp::Data::Reader{reinterpret_cast<const kj::byte*>(from.packet.data()), from.packet.size()});
    out.setReceiver(from.receiver);
    out.setService(from.service);
    out.setPassesLeft(from.passes_left);
}

/// A packet that is too large is read as an empty one, which no host steers.
inline relayed_syn read_relayed(schema::RelayedSyn::Reader in)
{
    relayed_syn read{
        .packet = {}, .receiver = in.getReceiver(), .service = in.getService(), .passes_left = in.getPassesLeft()};
    const auto packet = in.getPacket();
    if (packet.size() <= max_relayed_packet)
    {
        const auto* begin = reinterpret_cast<const std::byte*>(packet.begin());
        read.packet.assign(begin, begin + packet.size());
    }
    return read;
}

} // namespace galenabay::peers
