#pragma once

#include <sys/resource.h>
#include <unistd.h>

namespace galenabay::test
{

/// Keeps this process from opening descriptors while it lives.
class no_descriptors
{
public:
    no_descriptors() : no_descriptors{next_descriptor()} {}
    /// Lowers the limit to `limit`, also below the descriptors that are open.
    explicit no_descriptors(int limit)
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        const rlimit lowered{static_cast<rlim_t>(limit), before_.rlim_max};
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    no_descriptors(const no_descriptors&) = delete;
    no_descriptors& operator=(const no_descriptors&) = delete;
    ~no_descriptors() { setrlimit(RLIMIT_NOFILE, &before_); }

private:
    static int next_descriptor()
    {
        const int next = dup(STDIN_FILENO);
        close(next);
        return next;
    }

    rlimit before_{};
};

} // namespace galenabay::test
