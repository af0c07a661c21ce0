// Runs a few dispatchers under injected faults in virtual time and checks their
// guarantees against what the upstreams recorded.
//
// torture_dispatch [--seeds N] [--first S] [--trace KEY]
// --trace prints the events of one request (KEY in decimal) and of the hosts.

#include "dispatch_torture.hpp"

#include <cstdlib>
#include <string_view>

namespace
{

using namespace galenabay::torture;

/// Returns the number that follows the option `name`; `fallback` without one.
std::uint64_t argument(int count, char** values, std::string_view name, std::uint64_t fallback)
{
    for (int i = 1; i + 1 < count; ++i)
    {
        if (name == values[i])
        {
            return std::strtoull(values[i + 1], nullptr, 10);
        }
    }
    return fallback;
}

} // namespace

int main(int count, char** values)
{
    const std::uint64_t seeds = argument(count, values, "--seeds", 100);
    const std::uint64_t first = argument(count, values, "--first", 1);
    const std::uint64_t traced = argument(count, values, "--trace", 0);
    totals sum;
    std::uint64_t failed = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
    {
        world subject{seed, sum, traced};
        failed += subject.run() ? 0 : 1;
    }
    const auto print = [](const char* name, std::uint64_t value)
    { std::printf("%s=%llu ", name, static_cast<unsigned long long>(value)); };
    print("seeds", seeds);
    print("requests", sum.requests);
    print("runs", sum.runs);
    print("answers", sum.answers);
    print("refused_not_run", sum.refusals_not_run);
    print("refused_unknown", sum.refusals_unknown);
    print("unanswered", sum.unanswered);
    print("later_blocks", sum.later_blocks);
    print("kills", sum.kills);
    print("freezes", sum.freezes);
    print("cuts", sum.cuts);
    print("drains", sum.drains);
    print("sheds", sum.sheds);
    print("revisions", sum.revisions);
    print("failed_seeds", failed);
    std::printf("violations=%llu\n", static_cast<unsigned long long>(sum.violations));
    return sum.violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
