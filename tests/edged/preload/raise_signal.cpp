#include <csignal>

// Loaded into a program by the test edged_early_signal: sends SIGHUP while the shared libraries are initialised.

namespace
{

[[maybe_unused]] const int sent = std::raise(SIGHUP);

} // namespace
