#pragma once

#include <cstdint>

namespace galenabay::edge_soak
{

/// Loopback addresses of one run; runs with different numbers can run concurrently.
struct address_block
{
    /// 0 to 14.
    std::uint32_t number = 0;

    std::uint32_t upstreams() const { return 0x7f020001 + offset(); } // 127.2.0.1
    std::uint32_t callers() const { return 0x7f030001 + offset(); }   // 127.3.0.1
    std::uint32_t hosts() const { return 0x7f040001 + offset(); }     // 127.4.0.1
    std::uint32_t store() const { return 0x7f050001 + offset(); }     // 127.5.0.1

private:
    std::uint32_t offset() const { return number << 20U; }
};

} // namespace galenabay::edge_soak
