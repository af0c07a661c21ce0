#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <string>

namespace galenabay::stand_in
{

/// One event of one run of a request. Plain value.
struct run_event
{
    std::string service;
    std::string upstream;
    std::string caller;
    std::string method;
    std::string path;
    std::string nonce;
    std::string run;
    /// "started", then "done", "cancelled" or "killed"; or only "expired".
    std::string outcome;
};

/// Appends events to a file as one flushed line each. Owned by one thread.
class run_log
{
public:
    /// Opens `file` for appending; an empty name disables the log.
    explicit run_log(const std::string& file)
    {
        if (!file.empty())
        {
            out_.open(file, std::ios::app);
        }
    }

    void write(const run_event& event)
    {
        if (!out_.is_open())
        {
            return;
        }
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        out_ << "time_ms=" << std::chrono::duration_cast<std::chrono::milliseconds>(now).count()
             << " service=" << event.service << " upstream=" << event.upstream << " caller=" << event.caller
             << " method=" << event.method << " path=" << event.path << " nonce=" << event.nonce << " run=" << event.run
             << " outcome=" << event.outcome << std::endl; // NOLINT(performance-avoid-endl)
    }

private:
    std::ofstream out_;
};

} // namespace galenabay::stand_in
