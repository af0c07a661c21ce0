#pragma once

#include <galenabay/base/error.hpp>
#include <platform/settings.hpp>

#include <optional>

namespace galenabay::edge
{

/// Why a host cannot start on an address of its settings.
struct address_fault
{
    /// `io_failure` with the step and the address.
    base::error error;
    /// The address is in use, or the machine does not have it yet: waiting helps.
    bool may_pass = false;
};

/// Binds the addresses that a host needs, one after the other, and releases them. Returns the first fault. It takes
/// less time than an attempt to start, which only has to follow when there is none.
std::optional<address_fault> find_address_fault(const adapter::settings& settings);

} // namespace galenabay::edge
