#pragma once

#include <csignal>

namespace galenabay::base
{

/// Blocks TERM, INT and HUP in this thread and the threads that it starts, so that one thread can wait for them, and
/// ignores PIPE. Call it before any thread is started, including the log thread. Returns the blocked signals.
sigset_t block_process_signals();

} // namespace galenabay::base
