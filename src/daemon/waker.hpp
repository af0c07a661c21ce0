#pragma once

#include <galenabay/net/waker.hpp>

namespace galenabay::daemon
{

using net::waker;

} // namespace galenabay::daemon
