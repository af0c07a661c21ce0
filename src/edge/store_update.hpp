#pragma once

#include <galenabay/base/ring.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/peers/upstream_changes.hpp>
#include <platform/store_objects.hpp>

#include <memory>
#include <vector>

namespace galenabay::edge
{

/// Update that a store thread sends to the packet thread. Immutable once sent.
struct store_update
{
    enum class kind
    {
        /// `objects` is the complete list.
        list,
        /// `objects` contains the changed ones.
        changes,
        /// `state` is that of another host.
        peer_state,
        /// The store could not be read.
        failure,
    };

    kind what = kind::failure;
    adapter::object_kind objects_of = adapter::object_kind::configuration;
    std::vector<adapter::store_object> objects;
    steer::store_revision revision;
    std::shared_ptr<const peers::edge_state> state;
    /// Each host that has `state` serves it to one other host at a time.
    bool is_large_state = false;
    /// When the answer arrived.
    base::time_point received_at{};
};

using update_ring = base::ring<std::shared_ptr<const store_update>>;

} // namespace galenabay::edge
