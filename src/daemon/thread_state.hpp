#pragma once

#include <galenabay/base/time.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>

namespace galenabay::daemon
{

/// Flags and counters that the threads of the process share.
struct thread_state
{
    /// Makes the threads return soon after it is set.
    std::atomic<bool> stop{false};
    /// A planned stop has begun.
    std::atomic<bool> leaving{false};
    /// A revision is in force and sockets are open.
    std::atomic<bool> serving{false};
    /// Number of pauses of the process that any thread has detected. After a pause the decide thread drops packets from
    /// callers and hosts until the control thread has brought the list of live hosts up to date (`resumed_event`).
    std::atomic<std::uint64_t> pauses{0};
    /// Requests queued or running on this host.
    std::atomic<std::uint64_t> open_requests{0};
};

} // namespace galenabay::daemon
