#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/control/fleet_status.hpp>
#include <galenabay/object_api/object_client.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace galenabay::control
{

/// Waits until every live host reports revision `number` or a newer one in force.
/// Calls `progress` with one line whenever the status changes.
///
/// Errors: `timeout`, with the lagging hosts as detail.
base::result<void> wait_in_force(const object_api::object_client& client, std::uint64_t number,
                                 std::chrono::milliseconds timeout,
                                 const std::function<void(const std::string&)>& progress);

/// Returns "7 of 9 hosts have revision 12 in force; waiting for a (revision 11), …".
std::string describe(const fleet_status& fleet, std::uint64_t number);

} // namespace galenabay::control
