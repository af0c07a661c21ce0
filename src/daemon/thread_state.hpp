#pragma once

#include <galenabay/base/time.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>

namespace galenabay::daemon
{

/// Flags that all threads of the process read.
struct thread_state
{
    /// Threads end soon after this is set.
    std::atomic<bool> stop{false};
    /// A planned stop has begun.
    std::atomic<bool> leaving{false};
    /// A revision is in force and sockets are open.
    std::atomic<bool> serving{false};
    /// Pauses of the process noticed by any thread. The decide thread discards
    /// callers' packets until the control thread has learned again what may have
    /// changed (`resumed_event`).
    std::atomic<std::uint64_t> pauses{0};
    /// Requests that wait or run on this host.
    std::atomic<std::uint64_t> open_requests{0};
};

} // namespace galenabay::daemon
