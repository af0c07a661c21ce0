#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace galenabay::edge_soak
{

/// Copies the output of processes from pipes to log files, and stops reading for a while on
/// request, as a slow collector of logs does. Owns the copying thread.
class process_output
{
public:
    process_output();
    process_output(const process_output&) = delete;
    process_output& operator=(const process_output&) = delete;
    ~process_output();

    /// Returns the writing end of a new pipe, whose output is appended to `log`. The caller
    /// closes it.
    int open(const std::string& log);
    /// Stops or resumes reading all pipes.
    void stall(bool stalled) { stalled_.store(stalled); }

private:
    struct pipe_copy
    {
        int from = -1;
        int to = -1;
    };

    void copy();

    std::atomic<bool> stop_{false};
    std::atomic<bool> stalled_{false};
    std::mutex mutex_;
    std::vector<pipe_copy> copies_;
    std::thread thread_;
};

} // namespace galenabay::edge_soak
