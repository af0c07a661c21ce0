#include <galenabay/base/process_signals.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <ctime>

#include <algorithm>

namespace galenabay::base
{

namespace
{

sigset_t handled_signals()
{
    sigset_t handled;
    sigemptyset(&handled);
    sigaddset(&handled, SIGTERM);
    sigaddset(&handled, SIGINT);
    sigaddset(&handled, SIGHUP);
    return handled;
}

} // namespace

sigset_t block_process_signals()
{
    const sigset_t handled = handled_signals();
    pthread_sigmask(SIG_BLOCK, &handled, nullptr);
    for (const int ignored : {SIGPIPE, SIGXFSZ, SIGUSR1, SIGUSR2})
    {
        std::signal(ignored, SIG_IGN); // NOLINT(cert-err33-c)
    }
    return handled;
}

void open_standard_descriptors()
{
    for (const int descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO})
    {
        // The lowest free descriptor is taken, which is this one.
        if (fcntl(descriptor, F_GETFD) < 0 && open("/dev/null", O_RDWR) < 0)
        {
            return;
        }
    }
}

int wait_for_process_signal(std::chrono::milliseconds limit)
{
    const sigset_t handled = handled_signals();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(limit);
    const timespec interval{seconds.count(), std::chrono::nanoseconds{limit - seconds}.count()};
    return std::max(sigtimedwait(&handled, nullptr, &interval), 0);
}

} // namespace galenabay::base
