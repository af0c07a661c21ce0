#pragma once

#include <galenabay/base/error.hpp>

#include <chrono>
#include <concepts>
#include <string>
#include <string_view>

namespace galenabay::base
{

enum class log_level
{
    debug,
    info,
    warning,
    error,
};

/// Starts logging to standard output: one line of key=value pairs per event.
/// `host` and `data_centre` are written on the line of every event. Thread-safe afterwards.
///
/// A separate thread writes the lines from then on: an event only appends its line to a bounded queue. When the queue
/// is full the line is dropped, so that no caller waits for the output.
void configure_log(std::string host, std::string data_centre, log_level lowest);

/// Waits until the queued lines are written, at most `limit`. Call it before the process exits.
void flush_log(std::chrono::milliseconds limit = std::chrono::milliseconds{200});

/// Changes the lowest level that is written. Thread-safe.
void set_log_level(log_level lowest);

/// Returns `key=value` for a log line. The value is quoted where it needs to be; control characters
/// become spaces, and what exceeds 400 bytes is cut off and replaced by "...", since values may
/// come from other machines.
std::string format_field(std::string_view key, std::string_view value);

/// A log event, written as one line when it goes out of scope.
///
///     log_event{log_level::info, "revision_adopted"}.with("revision", 7);
class log_event
{
public:
    log_event(log_level level, std::string_view event);
    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;
    ~log_event();

    /// Adds a pair; the value is quoted when it holds a space, quote or '='.
    log_event& with(std::string_view key, std::string_view value);
    template <typename T>
    requires std::integral<T> || std::floating_point<T> log_event& with(std::string_view key, T value)
    {
        return with(key, std::string_view{std::to_string(value)});
    }
    /// Adds the step, peer, code and detail of an error.
    log_event& with(const error& value);

private:
    log_level level_;
    std::string line_;
};

} // namespace galenabay::base
