#pragma once

#include <cstddef>
#include <span>
#include <string>

namespace galenabay::revision
{

/// Number of hosts of a data centre that watch the platform; the others rely on
/// them.
inline constexpr std::size_t watchers_per_data_centre = 8;

/// Returns true when `self` is among the first `count` of its data centre's live
/// hosts in rendezvous order, itself included whether listed or not. In a data
/// centre of up to `count` hosts, all of them watch.
bool is_watcher(std::span<const std::string> live_hosts, const std::string& self,
                std::size_t count = watchers_per_data_centre);

} // namespace galenabay::revision
