#pragma once

#include <galenabay/base/time.hpp>

#include <cstdint>

namespace galenabay::edge
{

/// Decides when a host reads the entries of all hosts in the store and writes its own. Does no
/// I/O; not thread-safe.
class registration_schedule
{
public:
    enum class step
    {
        wait,
        /// Read the entries; the answer may be stale.
        list,
        /// Read the entries as they are now.
        list_current,
        /// Write this host's entry.
        write,
    };
    /// What other threads know.
    struct situation
    {
        /// No other host is live.
        bool alone = true;
        /// The store should list this host.
        bool should_register = false;
        /// Latest known epoch of the store.
        std::uint64_t store_epoch = 0;
    };

    /// Returns the step that is due. After a list or write, record its result first.
    step next(const situation& seen, base::time_point now) const;
    /// Records a list; `has_entry`: it contains this host's entry. `epoch`: that of a current
    /// list, 0 for a list that may be stale.
    void on_listed(bool has_entry, std::uint64_t epoch, base::time_point now);
    /// Records that the entry was written in an epoch of the store.
    void on_written(std::uint64_t epoch, base::time_point now);
    /// Records that a list or write failed.
    void on_failed(base::time_point now);

    /// Returns true when this host waits to be told that it should be listed.
    bool awaits_role() const noexcept { return succeeded_ && !registered_; }
    /// Longest time until `next` has to be called again.
    base::duration longest_wait(const situation& seen) const;

private:
    base::duration pause(const situation& seen) const;

    /// The store lists this host with its address, as far as known.
    bool registered_ = false;
    /// Epoch in which that was last certain.
    std::uint64_t certain_epoch_ = 0;
    /// The last list or write, and whether it succeeded.
    base::time_point attempted_at_{};
    bool succeeded_ = false;
};

} // namespace galenabay::edge
