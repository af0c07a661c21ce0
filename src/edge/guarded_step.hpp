#pragma once

#include <galenabay/base/log.hpp>
#include <galenabay/base/standard_error.hpp>

#include <prometheus/counter.h>

#include <chrono>
#include <exception>
#include <thread>

namespace galenabay::edge
{

/// Counts and logs an exception that ended a step of a thread's loop, and pauses.
inline void report_failed_step(const char* thread, prometheus::Counter& failures, const char* detail)
{
    constexpr std::chrono::milliseconds failure_pause{100};
    failures.Increment();
    try
    {
        base::log_event{base::log_level::error, "thread_failed"}.with("thread", thread).with("detail", detail);
    }
    catch (const std::exception&)
    {
        // The memory that the step lacked may be missing for the log line, too.
        base::print_to_standard_error("level=error event=thread_failed detail=\"no memory for the log line\"\n");
    }
    std::this_thread::sleep_for(failure_pause);
}

/// Runs one step of a thread's loop. An exception, such as one for memory that is exhausted or
/// for an answer that a library does not expect, is logged and counted, and the thread goes on
/// with its next step after a pause. Returns false after an exception.
template <typename Step> bool run_guarded(const char* thread, prometheus::Counter& failures, Step step)
{
    try
    {
        step();
        return true;
    }
    catch (const std::exception& failure)
    {
        report_failed_step(thread, failures, failure.what());
    }
    return false;
}

} // namespace galenabay::edge
