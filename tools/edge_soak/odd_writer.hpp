#pragma once

#include "fault_schedule.hpp"
#include "store_stub.hpp"

namespace galenabay::edge_soak
{

/// Writes entries to the store that no upstream and no host would write, as other programs
/// that use the store may do. Use it from one thread.
class odd_writer
{
public:
    odd_writer(fault_schedule& schedule, store_stub& store) : schedule_{schedule}, store_{store} {}

    /// Writes some entries before any host is started.
    void begin_before_start();
    /// Writes an entry, and removes it some seconds later.
    void begin(double now);

private:
    /// Writes an entry; returns false if it is left out.
    bool write(const std::string& kind, const std::string& name);

    fault_schedule& schedule_;
    store_stub& store_;
    std::size_t count_ = 0;
};

} // namespace galenabay::edge_soak
