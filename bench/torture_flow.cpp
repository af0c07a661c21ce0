// Checks that 3 to 6 steering instances keep established flows on their upstreams under random faults and changes in
// virtual time. Usage: torture_flow [--seeds N] [--first S] [--kinds MASK] [--trace 1] [--caller N]

#include "flow_torture.hpp"

#include <cstdio>

int main(int argc, char** argv)
{
    using namespace galenabay::bench;
    const auto options = parse_torture_options(argc, argv);
    counts total;
    for (std::uint64_t seed = options.first; seed < options.first + options.count; ++seed)
    {
        torture_run{seed, options, total}.run();
    }
    const auto number = [](std::uint64_t value) { return static_cast<unsigned long long>(value); };
    std::printf("torture_flow seeds=%llu packets=%llu flows=%llu relayed=%llu changes=%llu host_faults=%llu "
                "upstream_faults=%llu refused=%llu orphans=%llu ended=%llu violations=%llu\n",
                number(options.count), number(total.packets), number(total.flows), number(total.relayed),
                number(total.changes), number(total.host_faults), number(total.upstream_faults), number(total.refused),
                number(total.orphans), number(total.ended), number(total.violations));
    return total.violations == 0 ? 0 : 1;
}
