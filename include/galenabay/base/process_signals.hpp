#pragma once

#include <csignal>

namespace galenabay::base
{

/// Blocks TERM, INT and HUP in this thread and those that it starts, so that one thread
/// can wait for them, and ignores PIPE. To be called before any thread is started, that
/// of the log included. Returns the blocked signals.
sigset_t block_process_signals();

} // namespace galenabay::base
