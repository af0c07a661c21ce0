#include "../../src/edge/guarded_step.hpp"

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestMemoryAllocator.h>

#include <new>
#include <stdexcept>

using namespace galenabay::edge;

TEST_GROUP(guarded_step){};

TEST(guarded_step, an_exception_is_counted_and_does_not_leave_the_step)
{
    prometheus::Counter failures;
    // The log keeps the buffers of its first line, which the leak check would report.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    run_guarded("test", failures, [] { throw std::runtime_error{"unexpected"}; });
    MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
    run_guarded("test", failures, [] {});
    DOUBLES_EQUAL(1.0, failures.Value(), 0.0);
}

// Failure: a shortage of memory ended the process, since the log line about it found no memory either.
TEST(guarded_step, a_shortage_of_memory_does_not_leave_the_step)
{
    prometheus::Counter failures;
    setCurrentNewAllocator(NullUnknownAllocator::defaultAllocator());
    const bool completed = run_guarded("test", failures, [] { throw std::bad_alloc{}; });
    setCurrentNewAllocatorToDefault();
    CHECK_FALSE(completed);
    DOUBLES_EQUAL(1.0, failures.Value(), 0.0);
}
