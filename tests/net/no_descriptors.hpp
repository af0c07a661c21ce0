#pragma once

#include <sys/resource.h>
#include <unistd.h>

namespace galenabay::test
{

/// Keeps this process from opening descriptors while it lives.
class no_descriptors
{
public:
    no_descriptors()
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        const int next = dup(STDIN_FILENO);
        close(next);
        const rlimit lowered{static_cast<rlim_t>(next), before_.rlim_max};
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    no_descriptors(const no_descriptors&) = delete;
    no_descriptors& operator=(const no_descriptors&) = delete;
    ~no_descriptors() { setrlimit(RLIMIT_NOFILE, &before_); }

private:
    rlimit before_{};
};

} // namespace galenabay::test
