#pragma once

#include "sockets.hpp"

#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

namespace review
{

/// The file `record.txt` of a case: what was sent, answered and run. Thread-safe.
class record
{
public:
    explicit record(const std::string& file) : out_{file, std::ios::trunc}
    {
        if (!out_)
        {
            give_up("no file " + file);
        }
    }

    void line(const std::string& text)
    {
        char time[32];
        std::snprintf(time, sizeof time, "%10.3f s  ", now_ms() / 1'000);
        const std::lock_guard lock{mutex_};
        out_ << time << text << '\n';
        out_.flush();
    }
    /// Writes a line that is printed, too.
    void result(const std::string& text)
    {
        std::cout << text << '\n';
        line(text);
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

} // namespace review
