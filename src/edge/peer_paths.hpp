#pragma once

namespace galenabay::edge
{

/// Path under which a host serves all that it knows of the store to other hosts.
constexpr const char* peer_state_path = "/state";

} // namespace galenabay::edge
