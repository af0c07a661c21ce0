#include <galenabay/base/thread_memory.hpp>

#include <CppUTest/TestHarness.h>

#include <malloc.h>
#include <sys/wait.h>
#include <unistd.h>

#include <barrier>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

using namespace galenabay;

namespace
{

/// Returns the number of areas from which the C library allocates.
int count_areas()
{
    char* text = nullptr;
    std::size_t size = 0;
    auto* const stream = open_memstream(&text, &size);
    malloc_info(0, stream);
    std::fclose(stream);
    const std::string info{text, size};
    std::free(text);
    int count = 0;
    for (auto at = info.find("<heap nr="); at != std::string::npos; at = info.find("<heap nr=", at + 1))
    {
        ++count;
    }
    return count;
}

/// Runs threads that allocate at the same time; returns the number of areas then.
int areas_of_threads()
{
    constexpr int thread_count = 8;
    std::barrier all_allocated{thread_count + 1};
    std::barrier counted{thread_count + 1};
    std::vector<std::thread> threads;
    threads.reserve(thread_count);
    for (int i = 0; i < thread_count; ++i)
    {
        threads.emplace_back(
            [&]
            {
                // The compiler must not leave the allocation out.
                void* volatile block = std::malloc(1'000);
                all_allocated.arrive_and_wait();
                counted.arrive_and_wait();
                std::free(block);
            });
    }
    all_allocated.arrive_and_wait();
    const int count = count_areas();
    counted.arrive_and_wait();
    for (auto& one : threads)
    {
        one.join();
    }
    return count;
}

} // namespace

TEST_GROUP(thread_memory){};

// Failure: with a limit of 260 MB on the address space, the memory reserved for threads left none for the next thread's
// stack, and the process ended by signal 6 at some of its starts.
TEST(thread_memory, threads_that_allocate_reserve_no_memory_each)
{
    // The setting holds for a whole process.
    const pid_t child = fork();
    CHECK(child >= 0);
    if (child == 0)
    {
        base::limit_thread_memory();
        _exit(areas_of_threads());
    }
    int status = 0;
    waitpid(child, &status, 0);
    CHECK(WIFEXITED(status));
    CHECK_EQUAL(1, WEXITSTATUS(status));
}
