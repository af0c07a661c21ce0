#pragma once

#include <cstddef>
#include <span>
#include <string>

namespace galenabay::revision
{

/// Hosts of a data centre that watch the platform for all others.
inline constexpr std::size_t watchers_per_data_centre = 8;

/// Whether `self` is among the first `count` of its data centre's live hosts in
/// rendezvous order, itself included whether listed or not. Deployments of up to
/// `count` hosts in a data centre watch with all of them.
bool is_watcher(std::span<const std::string> live_hosts, const std::string& self,
                std::size_t count = watchers_per_data_centre);

} // namespace galenabay::revision
