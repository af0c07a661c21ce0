#pragma once

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>

namespace review
{

using steady = std::chrono::steady_clock;

/// Milliseconds since the start of the case.
inline double now_ms()
{
    static const auto start = steady::now();
    return std::chrono::duration<double, std::milli>(steady::now() - start).count();
}

/// Unix time in milliseconds.
inline long long unix_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// The record of a case: one line for each event, with its time. Thread-safe.
class record
{
public:
    explicit record(const std::string& path) : file_{std::fopen(path.c_str(), "w")} {}
    ~record()
    {
        if (file_ != nullptr)
        {
            std::fclose(file_);
        }
    }
    record(const record&) = delete;
    record& operator=(const record&) = delete;

    bool is_open() const { return file_ != nullptr; }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        const std::lock_guard lock{mutex_};
        std::fprintf(file_, "%9.1f ", now_ms());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::FILE* file_;
    std::mutex mutex_;
};

/// The case couldn't run.
[[noreturn]] inline void give_up(const std::string& reason)
{
    std::fprintf(stderr, "the case couldn't run: %s\n", reason.c_str());
    std::exit(2);
}

} // namespace review
