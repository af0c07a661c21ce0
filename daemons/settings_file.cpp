#include "settings_file.hpp"

#include <sys/stat.h>

#include <chrono>

namespace galenabay
{

base::result<adapter::settings> settings_file::load()
{
    // Taken before the file is read: a change that follows is found later.
    loaded_ = current();
    auto read = adapter::load_settings(path_);
    refused_ = !read;
    return read;
}

bool settings_file::changed() const
{
    return refused_ || current() != loaded_;
}

bool settings_file::settled() const
{
    // Longer than a writer pauses between two writes of so small a file.
    constexpr std::chrono::nanoseconds settle_time = std::chrono::milliseconds{100};
    const auto age =
        std::chrono::system_clock::now().time_since_epoch() - std::chrono::nanoseconds{loaded_.modified_ns};
    return !changed() && (age < std::chrono::nanoseconds{0} || age >= settle_time);
}

settings_file::version settings_file::current() const
{
    constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;
    struct stat status = {};
    if (stat(path_.c_str(), &status) != 0)
    {
        return loaded_;
    }
    return {status.st_ino, status.st_size, status.st_mtim.tv_sec * nanoseconds_per_second + status.st_mtim.tv_nsec};
}

} // namespace galenabay
