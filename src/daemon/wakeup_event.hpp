#pragma once

#include <galenabay/net/wakeup_event.hpp>

namespace galenabay::daemon
{

using net::wakeup_event;

} // namespace galenabay::daemon
