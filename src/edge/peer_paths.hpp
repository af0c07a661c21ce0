#pragma once

#include <platform/store_objects.hpp>

#include <string>

namespace galenabay::edge
{

/// Path at which a host serves its state of one kind of objects to other hosts.
inline std::string peer_state_path(adapter::object_kind kind)
{
    return std::string{"/state/"} + adapter::name_of(kind);
}

} // namespace galenabay::edge
