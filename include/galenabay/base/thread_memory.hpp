#pragma once

namespace galenabay::base
{

/// Limits the addresses that each thread reserves, which count where a machine limits a process's address space: one
/// heap for all threads, and stacks of 512 KiB. Call it before the first thread is started.
void limit_thread_memory();

} // namespace galenabay::base
