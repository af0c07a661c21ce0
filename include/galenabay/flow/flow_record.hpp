#pragma once

#include <galenabay/config/service_set.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>

namespace galenabay::flow
{

/// What one host tells another about an established flow. Plain value.
struct flow_record
{
    /// Bytes of one record in a peer message.
    static constexpr std::size_t wire_size = 16;

    /// Hash of caller and service address; the low 3 bits tell how long the flow
    /// has been silent, or mark a control record.
    std::uint64_t key = 0;
    /// Low 32 bits of the service's id.
    std::uint32_t service = 0;
    /// Low 32 bits of the upstream's id.
    std::uint32_t upstream = 0;

    friend auto operator<=>(const flow_record&, const flow_record&) = default;
};

} // namespace galenabay::flow
