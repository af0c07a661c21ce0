#include "settings_file.hpp"

namespace galenabay
{

base::result<adapter::settings> settings_file::load()
{
    // Taken before the file is read: a change that follows is found later.
    loaded_ = current();
    return adapter::load_settings(path_);
}

bool settings_file::changed() const
{
    return current() != loaded_;
}

settings_file::version settings_file::current() const
{
    constexpr long long nanoseconds_per_second = 1'000'000'000;
    struct stat status = {};
    if (stat(path_.c_str(), &status) != 0)
    {
        return loaded_;
    }
    return {status.st_size, status.st_mtim.tv_sec * nanoseconds_per_second + status.st_mtim.tv_nsec};
}

} // namespace galenabay
