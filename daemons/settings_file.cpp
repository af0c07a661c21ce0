#include "settings_file.hpp"

#include <sys/stat.h>

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
