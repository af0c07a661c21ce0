#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace
{

/// The stand-in's pool keeps threads between tests, and CppUTest's leak check
/// follows neither those nor allocations on several threads. The sanitizer
/// build checks these tests for leaks instead.
[[maybe_unused]] const bool leak_detection_disabled = []
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

} // namespace
