#include <CppUTest/CommandLineTestRunner.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace
{

/// Tests allocate on several threads, some already while static objects are initialised. The default overloads of
/// `new` in CppUTest are not thread-safe; with them, test_net ended with a segmentation fault. 101 is the first
/// priority that programs may use, so that this runs before all other initialisation.
[[gnu::constructor(101)]] void use_thread_safe_leak_check()
{
    MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
}

} // namespace

int main(int argc, char** argv)
{
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
