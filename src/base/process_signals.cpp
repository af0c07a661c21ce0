#include <galenabay/base/process_signals.hpp>

namespace galenabay::base
{

sigset_t block_process_signals()
{
    sigset_t handled;
    sigemptyset(&handled);
    sigaddset(&handled, SIGTERM);
    sigaddset(&handled, SIGINT);
    sigaddset(&handled, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &handled, nullptr);
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(cert-err33-c)
    return handled;
}

} // namespace galenabay::base
