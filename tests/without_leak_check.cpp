#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakDetector.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace
{

/// The thread pools of the stand-ins keep threads between tests, which CppUTest's leak detection does not support. The
/// sanitizer build detects leaks in these tests instead. The detector has to forget what was allocated before, since it
/// is not told when that is freed, and after each test reads what it knows. 102 follows the initialiser of `main.cpp`.
[[gnu::constructor(102)]] void disable_leak_check()
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    MemoryLeakWarningPlugin::getGlobalDetector()->clearAllAccounting(mem_leak_period_all);
}

} // namespace
