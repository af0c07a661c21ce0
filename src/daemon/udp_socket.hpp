#pragma once

#include "packet.hpp"

#include <galenabay/net/udp_socket.hpp>

namespace galenabay::daemon
{

using net::batch_size;
using net::receive_batch;
using net::receive_result;
using net::send_batch;
using net::udp_socket;

} // namespace galenabay::daemon
