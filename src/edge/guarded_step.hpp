#pragma once

#include <galenabay/base/log.hpp>

#include <prometheus/counter.h>

#include <chrono>
#include <exception>
#include <thread>

namespace galenabay::edge
{

/// Runs one step of a thread's loop. An exception, such as one for memory that is exhausted or
/// for an answer that a library does not expect, is logged and counted, and the thread goes on
/// with its next step after a pause.
template <typename Step> void run_guarded(const char* thread, prometheus::Counter& failures, Step step)
{
    constexpr std::chrono::milliseconds failure_pause{100};
    try
    {
        step();
    }
    catch (const std::exception& failure)
    {
        failures.Increment();
        base::log_event{base::log_level::error, "thread_failed"}.with("thread", thread).with("detail", failure.what());
        std::this_thread::sleep_for(failure_pause);
    }
}

} // namespace galenabay::edge
