#pragma once

#include <platform/settings.hpp>

#include <sys/types.h>

#include <cstdint>

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
    /// Returns true when the file is to be read: it is another file, its size or modification time differs from that at
    /// the last `load`, or that `load` failed, since the file may have been incomplete.
    bool changed() const;
    /// Returns true unless the file was modified since the last `load`, or so short a time ago that its writer may not
    /// have finished. A file that is modified in the future counts as old.
    bool settled() const;

private:
    /// What tells one version of the file from another.
    struct version
    {
        ino_t file = 0;
        off_t size = 0;
        std::int64_t modified_ns = 0;

        friend bool operator==(const version&, const version&) = default;
    };

    /// Returns the version of the file; that of the last `load` when the file is missing.
    version current() const;

    std::string path_;
    version loaded_;
    bool refused_ = true;
};

} // namespace galenabay
