#include <galenabay/base/log.hpp>
#include <galenabay/base/thread_memory.hpp>

#include <malloc.h>
#include <pthread.h>

#include <cstddef>
#include <system_error>

namespace galenabay::base
{

void limit_thread_memory()
{
    // The C library's defaults are 64 MB of heap and 8 MB of stack for each thread.
    const bool has_one_heap = mallopt(M_ARENA_MAX, 1) == 1;
    int failure = 0;
// Sanitizers keep more of each thread on its stack.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    constexpr std::size_t stack_bytes = 512U << 10U;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, stack_bytes);
    failure = pthread_setattr_default_np(&attributes);
    pthread_attr_destroy(&attributes);
#endif
    if (!has_one_heap || failure != 0)
    {
        log_event{log_level::warning, "thread_memory_not_limited"}.with("detail",
                                                                        std::generic_category().message(failure));
    }
}

} // namespace galenabay::base
