#pragma once

#include <chrono>
#include <csignal>

namespace galenabay::base
{

/// Blocks TERM, INT and HUP in this thread and the threads that it starts, so that one thread can wait for them, and
/// ignores PIPE, XFSZ (both are seen as errors of a write), USR1 and USR2, which mean nothing here. Call it before any
/// thread is started, including the log thread. Returns the blocked signals.
sigset_t block_process_signals();

/// Opens /dev/null for each standard descriptor that is closed, since a socket that took its place would get what is
/// printed. Call it before anything else is opened.
void open_standard_descriptors();

/// Waits for one of the blocked signals, at most `limit`; returns its number, or 0 when none came.
int wait_for_process_signal(std::chrono::milliseconds limit);

/// Returns true for the signals that ask for a planned stop.
constexpr bool is_stop_signal(int number)
{
    return number == SIGTERM || number == SIGINT;
}

} // namespace galenabay::base
