#pragma once

#include <platform/settings.hpp>

#include <sys/stat.h>

#include <string>
#include <utility>

namespace galenabay
{

/// The settings file of a process, which may be replaced at any time. Used by the main thread.
class settings_file
{
public:
    explicit settings_file(std::string path) : path_{std::move(path)} {}

    const std::string& path() const noexcept { return path_; }
    /// Reads the file. Errors: as `adapter::load_settings`.
    base::result<adapter::settings> load();
    /// Returns true when the file's size or modification time differs from that at the last `load`.
    bool changed() const;

private:
    using version = std::pair<off_t, long long>;

    /// Returns the size and modification time; those of the last `load` when the file is missing.
    version current() const;

    std::string path_;
    version loaded_{};
};

} // namespace galenabay
