#pragma once

#include <galenabay/config/service_set.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>

namespace galenabay::flow
{

/// One entry of the record exchange between hosts: the upstream of a flow, or
/// control information (see `record_codec.hpp`). Plain value.
struct flow_record
{
    /// Bytes of one record in a peer message.
    static constexpr std::size_t wire_size = 16;

    /// Hash of caller and service address. The low 3 bits encode how long the
    /// flow has been idle, or mark a control record.
    std::uint64_t key = 0;
    /// Low 32 bits of the service's id.
    std::uint32_t service = 0;
    /// Low 32 bits of the upstream's id.
    std::uint32_t upstream = 0;

    friend auto operator<=>(const flow_record&, const flow_record&) = default;
};

} // namespace galenabay::flow
