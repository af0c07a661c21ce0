#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace
{

/// The store stub's thread pool keeps threads between tests, and CppUTest's leak
/// detection supports neither that nor allocations on several threads. The sanitizer
/// build detects leaks in these tests instead.
[[maybe_unused]] const bool leak_detection_disabled = []
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

} // namespace
