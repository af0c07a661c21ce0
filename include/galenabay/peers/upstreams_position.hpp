#pragma once

#include <galenabay/peers/upstream_changes.hpp>
#include <galenabay/steer/store_revision.hpp>

namespace galenabay::peers
{

/// Store revision up to which a host has applied the changes of the upstreams: what it tells
/// the others, and by which it finds that it has missed some. Never goes back. Not
/// thread-safe; owned by the packet thread.
class upstreams_position
{
public:
    const steer::store_revision& revision() const noexcept { return revision_; }

    /// Records a change that the store reported. Changes of one answer are recorded together.
    void on_change(const steer::store_revision& changed_at) { advance(changed_at); }
    /// Records a complete list of the store. The list tells no revision of a last change when
    /// it is empty, but it belongs to `epoch`.
    void on_list(std::uint64_t epoch) { advance({.epoch = epoch, .number = 0}); }
    /// Records changes that another host sent. After a gap the position stays, so that this
    /// host reads the complete state: changes are missing before them, or they follow an epoch
    /// that this host has not seen.
    void on_changes(const upstream_changes& changes)
    {
        if (changes.previous_revision <= revision_)
        {
            advance(changes.revision);
        }
    }
    /// Records that another host, which has applied all changes up to `revision`, knows the
    /// same upstreams. Only a host that has nothing but a list of unknown epoch relies on that.
    void on_equal_state(const steer::store_revision& revision)
    {
        if (revision_.epoch == 0)
        {
            advance(revision);
        }
    }
    /// Records the complete state of another host. Returns false when it is not newer.
    bool on_state(const upstream_changes& state)
    {
        if (state.revision <= revision_)
        {
            return false;
        }
        revision_ = state.revision;
        return true;
    }

private:
    void advance(const steer::store_revision& to) { revision_ = revision_ < to ? to : revision_; }

    steer::store_revision revision_;
};

} // namespace galenabay::peers
