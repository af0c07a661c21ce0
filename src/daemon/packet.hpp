#pragma once

#include <galenabay/net/packet.hpp>

namespace galenabay::daemon
{

using net::packet;
using net::packet_origin;

} // namespace galenabay::daemon
