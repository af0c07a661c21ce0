#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace galenabay::base
{

/// Bounded queue of log lines and the thread that writes them. Thread-safe; a push never waits for the writer.
class log_queue
{
public:
    /// Largest number of queued lines. A busy host takes several seconds to log as many.
    static constexpr std::size_t max_lines = 2'000;

    explicit log_queue(std::function<void(const std::string&)> write);
    log_queue(const log_queue&) = delete;
    log_queue& operator=(const log_queue&) = delete;
    /// Writes the queued lines and joins the thread.
    ~log_queue();

    /// Queues a line. Drops it when the queue is full or memory is short; the next line that is written is preceded by
    /// one with the number of dropped lines.
    void push(std::string line);

    /// Waits until everything is written, at most `limit`.
    void flush(std::chrono::milliseconds limit);

private:
    void run();
    /// Writes a line about `dropped` lines, if there were any, and `lines`. Returns the number of lines that were lost
    /// because a write failed with an exception.
    std::uint64_t write_all(const std::deque<std::string>& lines, std::uint64_t dropped) const;

    std::function<void(const std::string&)> write_;
    std::mutex mutex_;
    std::condition_variable lines_available_;
    std::condition_variable drained_;
    std::deque<std::string> lines_;
    std::uint64_t dropped_ = 0;
    bool writing_ = false;
    bool stop_ = false;
    std::thread writer_;
};

} // namespace galenabay::base
