#include <galenabay/base/process_signals.hpp>

// Blocks the process's signals before the initialisers of the shared libraries run. A signal that arrives before `main`
// then waits, where its default action would end the process. Sanitizers forbid calls this early.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)

namespace
{

void block_early(int /*argc*/, char** /*argv*/, char** /*environment*/)
{
    galenabay::base::block_process_signals();
}

using initialiser = void (*)(int, char**, char**);
[[gnu::section(".preinit_array"), gnu::used]] const initialiser early_initialiser = block_early;

} // namespace

#endif
