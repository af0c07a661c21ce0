#include <galenabay/base/process_memory.hpp>

#include <malloc.h>

namespace galenabay::base
{

void share_memory_between_threads()
{
    // Fails for unknown parameters only.
    mallopt(M_ARENA_MAX, 1);
}

} // namespace galenabay::base
