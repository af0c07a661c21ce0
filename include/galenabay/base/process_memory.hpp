#pragma once

namespace galenabay::base
{

/// Makes all threads allocate from one area of memory, which grows with what is in use. Otherwise the C library
/// reserves 64 MB of addresses for each thread that allocates, and twice as much for a moment; under a limit on the
/// address space threads then cannot be started. Call it before the first thread starts.
void share_memory_between_threads();

} // namespace galenabay::base
